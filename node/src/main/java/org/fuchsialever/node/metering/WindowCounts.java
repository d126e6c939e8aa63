package org.fuchsialever.node.metering;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Calls that began on this instance, by usage window and team. */
final class WindowCounts {
    private final long mWindowMillis;
    private final TreeMap<Long, Map<String, Long>> mCounts = new TreeMap<>();
    private final Set<Long> mChanged = new TreeSet<>();

    WindowCounts(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    long windowOf(long wallMillis) {
        return Math.floorDiv(wallMillis, mWindowMillis);
    }

    synchronized void add(String team, long wallMillis) {
        long window = windowOf(wallMillis);
        mCounts.computeIfAbsent(window, key -> new HashMap<>()).merge(team, 1L, Long::sum);
        mChanged.add(window);
    }

    /** Returns the windows that have changed since the last call, with all their counts. */
    synchronized Map<Long, Map<String, Long>> takeChanged() {
        Map<Long, Map<String, Long>> result = new TreeMap<>();
        for (long window : mChanged) {
            result.put(window, Map.copyOf(mCounts.getOrDefault(window, Map.of())));
        }
        mChanged.clear();
        return result;
    }

    /** Marks a window as changed again, because its counts could not be written. */
    synchronized void markChanged(long window) {
        mChanged.add(window);
    }

    /** Removes windows before the given one, which are too old to be reported. */
    synchronized void removeBefore(long window) {
        mCounts.headMap(window).clear();
        mChanged.removeIf(old -> old < window);
    }
}
