package org.fuchsialever.decisions.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** In-memory table that keeps all earlier states, so that reads can be stale. */
final class FakeLeaseTable {
    private final List<Map<String, LeaseRow>> mStates = new ArrayList<>(List.of(new TreeMap<>()));

    /** Reads a state that is the given number of commits old. */
    LeaseEvent read(long afterVersion, int commitsBehind) {
        Map<String, LeaseRow> state = mStates.get(Math.max(0, mStates.size() - 1 - commitsBehind));
        return new LeaseEvent.TableRead(
                afterVersion == 0,
                state.values().stream().filter(row -> row.version() > afterVersion).toList());
    }

    LeaseEvent commit(LeaseCommit commit) {
        Map<String, LeaseRow> now = mStates.get(mStates.size() - 1);
        List<LeaseRow> present = new ArrayList<>();
        boolean holds = true;
        for (Map.Entry<String, Long> condition : commit.conditions().entrySet()) {
            LeaseRow row = now.get(condition.getKey());
            if ((row == null ? 0 : row.version()) != condition.getValue()) {
                holds = false;
                if (row != null) {
                    present.add(row);
                }
            }
        }
        if (!holds) {
            return new LeaseEvent.Conflicted(commit.writer(), present);
        }
        long version = mStates.size();
        Map<String, LeaseRow> next = new TreeMap<>(now);
        commit.deletes().forEach(next::remove);
        commit.puts().forEach(row -> next.put(row.key(), row.writtenBy(commit.writer(), version)));
        mStates.add(next);
        return new LeaseEvent.Committed(commit.writer(), version);
    }

    long versionOf(String key) {
        LeaseRow row = mStates.get(mStates.size() - 1).get(key);
        return row == null ? 0 : row.version();
    }

    int rowCount() {
        return mStates.get(mStates.size() - 1).size();
    }

    long commitCount() {
        return mStates.size() - 1;
    }
}
