package org.fuchsialever.node.metering;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** Calls that began on this instance, by usage window and team. */
final class WindowCounts {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final long mWindowNanos;
    private final TreeMap<Long, Map<String, Long>> mCounts = new TreeMap<>();
    private final Set<Long> mChanged = new TreeSet<>();

    /**
     * Creates counts.
     *
     * @param window the length of a window, at least 1 ms
     */
    WindowCounts(Duration window) {
        mWindowNanos = window.toNanos();
    }

    /** Returns the number of the window that a time belongs to. */
    long windowOf(long wallMillis) {
        return Math.floorDiv(wallMillis * NANOS_PER_MILLI, mWindowNanos);
    }

    /** Returns the first whole millisecond of the wall clock after a window. */
    long endMillis(long window) {
        return -Math.floorDiv(-(window + 1) * mWindowNanos, NANOS_PER_MILLI);
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
