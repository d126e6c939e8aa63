package org.fuchsialever.decisions.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The beginning of an item's text, joined from stored segments. A run continues after its last
 * event.
 *
 * @param segments consecutive segments, each of which continues the one before
 */
public record PartialText(List<TextSegment> segments) {
    /** No text. */
    public static final PartialText NONE = new PartialText(List.of());

    /** Copies the list. */
    public PartialText {
        segments = List.copyOf(segments);
    }

    /**
     * Joins the stored segments of an item. Two instances that ran the same item may both have
     * stored segments, so those that do not continue the one before are left out.
     */
    public static PartialText join(List<TextSegment> stored) {
        List<TextSegment> joined = new ArrayList<>();
        for (TextSegment next :
                stored.stream()
                        .sorted(Comparator.comparingLong(TextSegment::firstEvent))
                        .toList()) {
            TextSegment last = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            boolean continues =
                    last == null
                            ? next.continues().isEmpty()
                            : next.firstEvent() == last.nextEvent()
                                    && next.continues().equals(last.run());
            if (!continues) {
                break;
            }
            joined.add(next);
        }
        return new PartialText(joined);
    }

    /** Returns whether there is no event. */
    public boolean isEmpty() {
        return segments.isEmpty();
    }

    /** Returns the number of the last event, -1 without any. */
    public long lastEvent() {
        return isEmpty() ? -1 : segments.get(segments.size() - 1).nextEvent() - 1;
    }

    /** Returns the run that generated the last event, empty without any. */
    public String lastRun() {
        return isEmpty() ? "" : segments.get(segments.size() - 1).run();
    }

    /** Returns the data of all events. */
    public List<String> events() {
        return segments.stream().flatMap(segment -> segment.events().stream()).toList();
    }

    /** Returns the weight versions that generated the events. */
    public List<Long> versions() {
        return segments.stream().flatMap(s -> s.versions().stream()).distinct().toList();
    }

    /**
     * Returns whether a submission may use it.
     *
     * @param minVersion the oldest weight version allowed
     */
    boolean isAllowed(long minVersion) {
        List<Long> versions = versions();
        return !versions.isEmpty() && versions.stream().allMatch(used -> used >= minVersion);
    }
}
