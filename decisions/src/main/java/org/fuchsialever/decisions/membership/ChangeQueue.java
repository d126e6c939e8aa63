package org.fuchsialever.decisions.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.model.InstanceId;

/** Member changes to gossip to peers, each a limited number of times. */
final class ChangeQueue {
    /** Maximum per message. Six changes of about 40 bytes keep a heartbeat below 300 bytes. */
    static final int MAX_CHANGES = 6;

    private final Map<InstanceId, Entry> mEntries = new TreeMap<>();

    /** Adds a change, which replaces an earlier one of the same instance. */
    void add(Member change, int sendCount) {
        mEntries.put(change.instance(), new Entry(change, sendCount));
    }

    /** Returns the changes for one message, those with the most remaining sends first. */
    List<Member> next() {
        if (mEntries.isEmpty()) {
            return List.of();
        }
        List<Entry> order = new ArrayList<>(mEntries.values());
        order.sort(Comparator.comparingInt(entry -> -entry.mRemaining));
        List<Member> result = new ArrayList<>(MAX_CHANGES);
        for (Entry entry : order.subList(0, Math.min(MAX_CHANGES, order.size()))) {
            result.add(entry.mChange);
            entry.mRemaining--;
            if (entry.mRemaining <= 0) {
                mEntries.remove(entry.mChange.instance());
            }
        }
        return result;
    }

    private static final class Entry {
        private final Member mChange;
        private int mRemaining;

        Entry(Member change, int remaining) {
            mChange = change;
            mRemaining = remaining;
        }
    }
}
