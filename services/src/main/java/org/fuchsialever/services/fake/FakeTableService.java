package org.fuchsialever.services.fake;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import org.fuchsialever.services.Timers;
import reactor.core.publisher.Mono;

/** A table service in memory. Used by one thread. */
public final class FakeTableService implements TableService {
    private final Faults mFaults;
    private final Map<RowId, Row> mRows = new TreeMap<>();
    private Map<RowId, Row> mReplica = Map.of();
    private boolean mStaleReads;
    private long mRevision;

    /** Creates an empty service whose delays use the given timers. */
    public FakeTableService(Timers timers) {
        mFaults = new Faults(timers);
    }

    /** Creates an empty service that responds immediately. */
    public FakeTableService() {
        this(delay -> Mono.empty());
    }

    /** Returns the fault injection and call counts of this service. */
    public Faults faults() {
        return mFaults;
    }

    /** Makes reads and scans return the current state until {@link #endStaleReads}. */
    public void beginStaleReads() {
        mReplica = new TreeMap<>(mRows);
        mStaleReads = true;
    }

    /** Makes reads and scans return the latest state again. */
    public void endStaleReads() {
        mStaleReads = false;
    }

    /** Returns the revision of the last commit. */
    public long revision() {
        return mRevision;
    }

    @Override
    public Mono<Option<Row>> read(String table, String key) {
        return mFaults.read(
                Mono.fromSupplier(() -> Option.of(visible().get(new RowId(table, key)))));
    }

    @Override
    public Mono<List<Row>> scan(String table, String prefix, long afterVersion) {
        return mFaults.read(
                Mono.fromSupplier(
                        () ->
                                visible().values().stream()
                                        .filter(row -> row.table().equals(table))
                                        .filter(row -> row.key().startsWith(prefix))
                                        .filter(row -> row.version() > afterVersion)
                                        .toList()));
    }

    @Override
    public Mono<CommitResult> commit(Commit commit) {
        return mFaults.change(Mono.fromSupplier(() -> apply(commit)));
    }

    private Map<RowId, Row> visible() {
        return mStaleReads ? mReplica : mRows;
    }

    private CommitResult apply(Commit commit) {
        boolean holds = true;
        List<Row> conflicts = new ArrayList<>();
        for (Commit.Condition condition : commit.conditions()) {
            Option<Row> row = Option.of(mRows.get(new RowId(condition.table(), condition.key())));
            if (row.map(Row::version).getOrElse(0L) != condition.version()) {
                holds = false;
                row.forEach(conflicts::add);
            }
        }
        if (!holds) {
            return new CommitResult.Conflict(conflicts);
        }
        mRevision++;
        for (Commit.Delete delete : commit.deletes()) {
            mRows.remove(new RowId(delete.table(), delete.key()));
        }
        for (Commit.Put put : commit.puts()) {
            mRows.put(
                    new RowId(put.table(), put.key()),
                    new Row(put.table(), put.key(), mRevision, put.value(), commit.writer()));
        }
        return new CommitResult.Committed(mRevision);
    }

    private record RowId(String table, String key) implements Comparable<RowId> {
        @Override
        public int compareTo(RowId other) {
            int byTable = table.compareTo(other.table);
            return byTable == 0 ? key.compareTo(other.key) : byTable;
        }
    }
}
