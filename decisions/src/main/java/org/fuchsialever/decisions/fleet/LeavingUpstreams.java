package org.fuchsialever.decisions.fleet;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The upstreams whose responses said that they are leaving. Kept apart from the list, because an
 * upstream may be unlisted and, by a late report, be listed again. One that starts under the same
 * ID after its announcement is another upstream. The list may show a start later than the responses
 * of that start do, so starts are compared with the time of the announcement.
 */
final class LeavingUpstreams {
    /** Upstreams leave in small groups, and their addresses are reused within minutes. */
    private static final int MAX_ENTRIES = 4_096;

    /** Clocks of machines differ by less, except after one was set. */
    private static final long CLOCK_DIFFERENCE_MILLIS = 500;

    private final Map<String, Entry> mEntries =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };
    private long mWallOffsetMillis = Long.MIN_VALUE;

    /**
     * Records an announcement; returns false if it was known or concerns an earlier start.
     *
     * @param startedMillis Unix time of the start that the list showed when the call was sent
     * @param sinceNanos when the announcement arrived, in monotonic nanoseconds
     * @param wallMillis the same as Unix time in milliseconds
     */
    boolean add(String id, long startedMillis, long sinceNanos, long wallMillis) {
        long arrivedMillis = latestWallMillis(sinceNanos, wallMillis);
        Entry known = mEntries.get(id);
        if (known != null && known.lastStartMillis >= startedMillis) {
            return false;
        }
        long lastStart = Math.max(startedMillis, arrivedMillis + CLOCK_DIFFERENCE_MILLIS);
        mEntries.put(id, new Entry(lastStart, sinceNanos));
        return true;
    }

    /** A clock that was set back must not make an earlier start look like a later one. */
    private long latestWallMillis(long nanos, long wallMillis) {
        long monotonicMillis = TimeUnit.NANOSECONDS.toMillis(nanos);
        mWallOffsetMillis = Math.max(mWallOffsetMillis, wallMillis - monotonicMillis);
        return mWallOffsetMillis + monotonicMillis;
    }

    /**
     * Returns since when an upstream is leaving, in monotonic nanoseconds, or none if it is not.
     */
    Option<Long> sinceNanos(FleetUpstream upstream) {
        Entry known = mEntries.get(upstream.id());
        return known == null || upstream.startedMillis() > known.lastStartMillis
                ? Option.none()
                : Option.some(known.sinceNanos);
    }

    /** An announcement, and the last start that it may have come from. */
    private record Entry(long lastStartMillis, long sinceNanos) {}
}
