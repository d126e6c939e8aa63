package org.fuchsialever.decisions.batch;

import java.util.List;

/**
 * Consecutive events of an item's text that are stored while the item runs.
 *
 * @param itemId ID of the item
 * @param firstEvent number of the first event
 * @param run identifies the run that generated the events
 * @param continues the run that generated the event before the first one, empty if there is none
 * @param events the data of the events, in order
 * @param versions the weight versions that generated the events
 */
public record TextSegment(
        String itemId,
        long firstEvent,
        String run,
        String continues,
        List<String> events,
        List<Long> versions) {

    /** Copies the lists. */
    public TextSegment {
        events = List.copyOf(events);
        versions = List.copyOf(versions);
    }

    /** Returns the name under which it is stored. */
    public TextKey key() {
        return new TextKey(itemId, firstEvent);
    }

    /** Returns the number of the event after the last one. */
    public long nextEvent() {
        return firstEvent + events.size();
    }

    /** Returns the number of characters of all events. */
    int characters() {
        return events.stream().mapToInt(String::length).sum();
    }
}
