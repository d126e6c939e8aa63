package org.fuchsialever.decisions.fleet;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The upstreams whose responses said that they are leaving. Kept apart from the list, because an
 * upstream may be unlisted and, by a late report, be listed again. A later start under the same ID
 * is another upstream.
 */
final class LeavingUpstreams {
    /** Upstreams leave in small groups, and their addresses are reused within minutes. */
    private static final int MAX_ENTRIES = 4_096;

    private final Map<String, Entry> mEntries =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    /** Records an announcement; returns false if it was known or concerns an earlier start. */
    boolean add(String id, long startedMillis, long sinceNanos) {
        Entry known = mEntries.get(id);
        if (known != null && known.startedMillis >= startedMillis) {
            return false;
        }
        mEntries.put(id, new Entry(startedMillis, sinceNanos));
        return true;
    }

    /**
     * Returns since when an upstream is leaving, in monotonic nanoseconds, or none if it is not.
     */
    Option<Long> sinceNanos(FleetUpstream upstream) {
        Entry known = mEntries.get(upstream.id());
        return known == null || upstream.startedMillis() > known.startedMillis
                ? Option.none()
                : Option.some(known.sinceNanos);
    }

    private record Entry(long startedMillis, long sinceNanos) {}
}
