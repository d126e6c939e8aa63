package org.fuchsialever.cli.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.lease.LeaseCommit;
import org.fuchsialever.decisions.lease.LeaseEvent;
import org.fuchsialever.decisions.lease.LeaseRow;

/** The table {@code leases} in memory, with stale reads. */
final class SoakLeaseTable {
    private final TreeMap<String, LeaseRow> mRows = new TreeMap<>();
    private Map<String, LeaseRow> mReplica = Map.of();
    private boolean mStale;
    private long mRevision;

    void beginStaleReads() {
        mReplica = new TreeMap<>(mRows);
        mStale = true;
    }

    void endStaleReads() {
        mStale = false;
    }

    LeaseEvent read(long afterVersion) {
        return new LeaseEvent.TableRead(
                afterVersion == 0,
                (mStale ? mReplica : mRows)
                        .values().stream().filter(row -> row.version() > afterVersion).toList());
    }

    LeaseEvent commit(LeaseCommit commit) {
        List<LeaseRow> present = new ArrayList<>();
        boolean holds = true;
        for (Map.Entry<String, Long> condition : commit.conditions().entrySet()) {
            if (versionOf(condition.getKey()) != condition.getValue()) {
                holds = false;
                LeaseRow row = mRows.get(condition.getKey());
                if (row != null) {
                    present.add(row);
                }
            }
        }
        if (!holds) {
            return new LeaseEvent.Conflicted(commit.writer(), present);
        }
        mRevision++;
        commit.deletes().forEach(mRows::remove);
        commit.puts()
                .forEach(row -> mRows.put(row.key(), row.writtenBy(commit.writer(), mRevision)));
        return new LeaseEvent.Committed(commit.writer(), mRevision);
    }

    long versionOf(String key) {
        LeaseRow row = mRows.get(key);
        return row == null ? 0 : row.version();
    }
}
