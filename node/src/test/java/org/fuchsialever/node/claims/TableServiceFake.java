package org.fuchsialever.node.claims;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import reactor.core.publisher.Mono;

/** An in-memory table service that can lose responses and be unreachable. */
final class TableServiceFake implements TableService {
    final Map<String, Row> mRows = new HashMap<>();
    int mResponsesToLose;
    boolean mDown;
    private long mVersion;

    @Override
    public Mono<Option<Row>> read(String table, String key) {
        return Mono.fromSupplier(() -> Option.of(mRows.get(key)));
    }

    @Override
    public Mono<List<Row>> scan(String table, String prefix, long afterVersion) {
        return Mono.error(new UnsupportedOperationException("claims are not scanned"));
    }

    @Override
    public Mono<CommitResult> commit(Commit commit) {
        return Mono.fromSupplier(() -> apply(commit));
    }

    private CommitResult apply(Commit commit) {
        if (mDown) {
            throw new PlatformException(PlatformException.Effect.NONE, "unreachable");
        }
        List<Row> conflicts = new ArrayList<>();
        for (Commit.Condition condition : commit.conditions()) {
            Row row = mRows.get(condition.key());
            if ((row == null ? 0 : row.version()) != condition.version()) {
                if (row != null) {
                    conflicts.add(row);
                }
                return new CommitResult.Conflict(conflicts);
            }
        }
        mVersion++;
        for (Commit.Put put : commit.puts()) {
            mRows.put(
                    put.key(),
                    new Row(put.table(), put.key(), mVersion, put.value(), commit.writer()));
        }
        commit.deletes().forEach(delete -> mRows.remove(delete.key()));
        if (mResponsesToLose > 0) {
            mResponsesToLose--;
            throw new PlatformException(PlatformException.Effect.UNKNOWN, "response lost");
        }
        return new CommitResult.Committed(mVersion);
    }
}
