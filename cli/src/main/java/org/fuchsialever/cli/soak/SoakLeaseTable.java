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
    private final TreeMap<String, LeaseRow> rows = new TreeMap<>();
    private Map<String, LeaseRow> replica = Map.of();
    private boolean stale;
    private long revision;

    void beginStaleReads() {
        replica = new TreeMap<>(rows);
        stale = true;
    }

    void endStaleReads() {
        stale = false;
    }

    LeaseEvent read(long afterVersion) {
        return new LeaseEvent.TableRead(
                afterVersion == 0,
                (stale ? replica : rows)
                        .values().stream().filter(row -> row.version() > afterVersion).toList());
    }

    LeaseEvent commit(LeaseCommit commit) {
        List<LeaseRow> present = new ArrayList<>();
        boolean holds = true;
        for (Map.Entry<String, Long> condition : commit.conditions().entrySet()) {
            if (versionOf(condition.getKey()) != condition.getValue()) {
                holds = false;
                LeaseRow row = rows.get(condition.getKey());
                if (row != null) {
                    present.add(row);
                }
            }
        }
        if (!holds) {
            return new LeaseEvent.Conflicted(commit.writer(), present);
        }
        revision++;
        commit.deletes().forEach(rows::remove);
        commit.puts().forEach(row -> rows.put(row.key(), row.writtenBy(commit.writer(), revision)));
        return new LeaseEvent.Committed(commit.writer(), revision);
    }

    long versionOf(String key) {
        LeaseRow row = rows.get(key);
        return row == null ? 0 : row.version();
    }
}
