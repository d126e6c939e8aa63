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

    private final int mMaxEntries;
    private final int mEventDropInterval;
    private final LinkedHashSet<String> mPrefixes = new LinkedHashSet<>();
    private final List<Event> mEvents = new ArrayList<>();
    private long mSequence;

    PrefixCache(int entries, int gapEvery) {
        mMaxEntries = entries;
        mEventDropInterval = gapEvery;
    }

    /** Returns the part of a prompt by which it is cached: its first 64 characters. */
    static String prefixOf(String prompt) {
        return prompt.substring(0, Math.min(prompt.length(), PREFIX_LENGTH));
    }

    /** Uses the prefix of a prompt; returns whether it was in the cache. */
    synchronized boolean use(String prompt) {
        if (mMaxEntries == 0) {
            return false;
        }
        String prefix = prefixOf(prompt);
        boolean hit = mPrefixes.remove(prefix);
        mPrefixes.add(prefix);
        if (!hit) {
            record(prefix, true);
        }
        if (mPrefixes.size() > mMaxEntries) {
            Iterator<String> oldest = mPrefixes.iterator();
            record(oldest.next(), false);
            oldest.remove();
        }
        return hit;
    }

    synchronized void clear() {
        mPrefixes.clear();
        mEvents.clear();
    }

    synchronized ObjectNode eventsAfter(long after) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("events");
        for (Event event : mEvents) {
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
        mSequence++;
        if (mEventDropInterval == 0 || mSequence % mEventDropInterval != 0) {
            mEvents.add(new Event(mSequence, prefix, stored));
        }
    }

    private record Event(long sequence, String prefix, boolean stored) {}
}
