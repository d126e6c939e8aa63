package org.fuchsialever.node.metering;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Calls that began on this instance, by usage window and team. */
final class WindowCounts {
    private final long windowMillis;
    private final TreeMap<Long, Map<String, Long>> counts = new TreeMap<>();
    private final Set<Long> changed = new TreeSet<>();

    WindowCounts(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    long windowOf(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    synchronized void add(String team, long wallMillis) {
        long window = windowOf(wallMillis);
        counts.computeIfAbsent(window, key -> new HashMap<>()).merge(team, 1L, Long::sum);
        changed.add(window);
    }

    /** Returns the windows that have changed since the last call, with all their counts. */
    synchronized Map<Long, Map<String, Long>> takeChanged() {
        Map<Long, Map<String, Long>> result = new TreeMap<>();
        for (long window : changed) {
            result.put(window, Map.copyOf(counts.getOrDefault(window, Map.of())));
        }
        changed.clear();
        return result;
    }

    /** Marks a window as changed again, because its counts could not be written. */
    synchronized void markChanged(long window) {
        changed.add(window);
    }

    /** Removes windows before the given one, which are too old to be reported. */
    synchronized void removeBefore(long window) {
        counts.headMap(window).clear();
        changed.removeIf(old -> old < window);
    }
}
