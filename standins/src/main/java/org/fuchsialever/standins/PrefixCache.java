package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/** The prompt prefixes cached by an engine, least recently used first. */
final class PrefixCache {
    private static final int PREFIX_LENGTH = 64;

    private final int maxEntries;
    private final int eventDropInterval;
    private final LinkedHashSet<String> prefixes = new LinkedHashSet<>();
    private final List<Event> events = new ArrayList<>();
    private long sequence;

    PrefixCache(int entries, int gapEvery) {
        this.maxEntries = entries;
        this.eventDropInterval = gapEvery;
    }

    /** Returns the part of a prompt by which it is cached: its first 64 characters. */
    static String prefixOf(String prompt) {
        return prompt.substring(0, Math.min(prompt.length(), PREFIX_LENGTH));
    }

    /** Uses the prefix of a prompt; returns whether it was in the cache. */
    synchronized boolean use(String prompt) {
        if (maxEntries == 0) {
            return false;
        }
        String prefix = prefixOf(prompt);
        boolean hit = prefixes.remove(prefix);
        prefixes.add(prefix);
        if (!hit) {
            record(prefix, true);
        }
        if (prefixes.size() > maxEntries) {
            Iterator<String> oldest = prefixes.iterator();
            record(oldest.next(), false);
            oldest.remove();
        }
        return hit;
    }

    synchronized void clear() {
        prefixes.clear();
        events.clear();
    }

    synchronized ObjectNode eventsAfter(long after) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("events");
        for (Event event : events) {
            if (event.sequence > after) {
                list.addObject()
                        .put("seq", event.sequence)
                        .put("prefix", event.prefix)
                        .put("stored", event.stored);
            }
        }
        return body;
    }

    private void record(String prefix, boolean stored) {
        sequence++;
        if (eventDropInterval == 0 || sequence % eventDropInterval != 0) {
            events.add(new Event(sequence, prefix, stored));
        }
    }

    private record Event(long sequence, String prefix, boolean stored) {}
}
