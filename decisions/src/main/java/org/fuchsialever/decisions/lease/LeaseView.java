package org.fuchsialever.decisions.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The rows that an instance has observed, with the time each version was first observed. */
final class LeaseView {
    private final Map<String, LeaseRow> mRows = new TreeMap<>();
    private final Map<String, Long> mObservedSince = new HashMap<>();
    private long mScannedVersion;
    private boolean mScanned;

    /** Returns whether all rows have been read at least once. */
    boolean isScanned() {
        return mScanned;
    }

    /**
     * Returns the highest version that a scan has returned. Versions of own commits do not count: a
     * stale scan may miss rows that others wrote before them.
     */
    long scannedVersion() {
        return mScannedVersion;
    }

    void addScan(boolean full, List<LeaseRow> read, long now) {
        Set<String> present = new HashSet<>();
        long newest = 0;
        for (LeaseRow row : read) {
            observe(row, now);
            present.add(row.key());
            newest = Math.max(newest, row.version());
        }
        mScannedVersion = Math.max(mScannedVersion, newest);
        if (full) {
            mScanned = true;
            long horizon = newest;
            mRows.values()
                    .removeIf(row -> row.version() <= horizon && !present.contains(row.key()));
            mObservedSince.keySet().retainAll(mRows.keySet());
        }
    }

    /** Stores a row unless this version or a newer one is known. */
    void observe(LeaseRow row, long now) {
        LeaseRow known = mRows.get(row.key());
        if (known == null || known.version() < row.version()) {
            mRows.put(row.key(), row);
            mObservedSince.put(row.key(), now);
        }
    }

    void remove(String key) {
        mRows.remove(key);
        mObservedSince.remove(key);
    }

    /** Restarts all observations, after a period without reads. */
    void restartObservations(long now) {
        mObservedSince.replaceAll((key, since) -> now);
    }

    long observedSince(String key) {
        return mObservedSince.getOrDefault(key, Long.MAX_VALUE / 2);
    }

    LeaseRow.Role role(String role) {
        LeaseRow row = mRows.get(LeaseRow.Role.PREFIX + role);
        return row instanceof LeaseRow.Role found ? found : LeaseRow.Role.absent(role);
    }

    LeaseRow.@Nullable Session session(String key) {
        return mRows.get(key) instanceof LeaseRow.Session found ? found : null;
    }

    LeaseRow.@Nullable Bid bid(String role) {
        return mRows.get(LeaseRow.Bid.PREFIX + role) instanceof LeaseRow.Bid found ? found : null;
    }

    /** Returns the names of the roles that each session holds, by session key. */
    Map<String, Set<String>> rolesBySession() {
        Map<String, Set<String>> result = new TreeMap<>();
        for (LeaseRow row : mRows.values()) {
            if (row instanceof LeaseRow.Role role && !role.holder().isEmpty()) {
                result.computeIfAbsent(role.holder(), key -> new HashSet<>()).add(role.role());
            }
        }
        return result;
    }

    /**
     * Returns the keys of the dead sessions that no role names any more once the given roles are
     * taken. Deleting such a row is always safe because its key is never reused.
     */
    List<String> unreferencedDeadSessions(List<LeaseRow.Role> taken) {
        Map<String, Set<String>> named = rolesBySession();
        for (LeaseRow.Role role : taken) {
            named.getOrDefault(role.holder(), new HashSet<>()).remove(role.role());
        }
        List<String> result = new ArrayList<>();
        for (LeaseRow row : mRows.values()) {
            if (row instanceof LeaseRow.Session session
                    && session.dead()
                    && named.getOrDefault(session.key(), Set.of()).isEmpty()) {
                result.add(session.key());
            }
        }
        return result;
    }

    /** Returns the number of roles that the sessions of an instance hold. */
    int roleCountOf(String instance) {
        int count = 0;
        for (Map.Entry<String, Set<String>> entry : rolesBySession().entrySet()) {
            if (LeaseRow.Session.instanceOf(entry.getKey()).equals(instance)) {
                count += entry.getValue().size();
            }
        }
        return count;
    }
}
