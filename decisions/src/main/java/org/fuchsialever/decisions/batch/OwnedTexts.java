package org.fuchsialever.decisions.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The stored segments of the texts of one submission. Segments are written by the commits of the
 * submission, so an instance that no longer owns it cannot store any.
 */
final class OwnedTexts {
    /** Stays below the store's limit of 100 entries per commit, beside results and state row. */
    private static final int MAX_ENTRIES_PER_COMMIT = 25;

    private final String mRunPrefix;
    private final Map<String, StoredText> mTexts = new HashMap<>();
    private final Deque<TextSegment> mUnsaved = new ArrayDeque<>();
    private final Deque<TextKey> mRemovable = new ArrayDeque<>();
    private int mRuns;

    /** Creates the texts of a submission; the ID and epoch make the names of runs unique. */
    OwnedTexts(String id, long epoch) {
        mRunPrefix = id + "/" + epoch + "/";
    }

    /** Begins a run of an item after its stored beginning, which may be empty. */
    void begin(String itemId, PartialText beginning) {
        drop(itemId);
        StoredText text = new StoredText(mRunPrefix + mRuns++, beginning);
        mTexts.put(itemId, text);
    }

    /** Makes the stored segments of an item removable that no run of it uses. */
    void discard(PartialText unused) {
        unused.segments().forEach(segment -> mRemovable.add(segment.key()));
    }

    /** Adds events that the current run of an item has generated. */
    void add(String itemId, long firstEvent, List<String> events, List<Long> versions) {
        StoredText text = mTexts.get(itemId);
        boolean continues = text != null && (text.mNext < 0 || text.mNext == firstEvent);
        if (text == null || !continues || events.isEmpty()) {
            return;
        }
        TextSegment segment =
                new TextSegment(itemId, firstEvent, text.mRun, text.mLastRun, events, versions);
        text.add(segment);
        mUnsaved.add(segment);
        mRemovable.remove(segment.key());
    }

    /** Forgets an item that needs its text no more; its stored segments become removable. */
    void drop(String itemId) {
        StoredText text = mTexts.remove(itemId);
        if (text != null) {
            mUnsaved.removeIf(segment -> segment.itemId().equals(itemId));
            mRemovable.addAll(text.mKeys);
        }
    }

    /** Takes the changes for the next commit. */
    TextChanges take(int maxCharacters) {
        if (mUnsaved.isEmpty() && mRemovable.isEmpty()) {
            return TextChanges.NONE;
        }
        List<TextSegment> saved = new ArrayList<>();
        int characters = 0;
        while (!mUnsaved.isEmpty()
                && saved.size() < MAX_ENTRIES_PER_COMMIT
                && characters < maxCharacters) {
            TextSegment next = mUnsaved.remove();
            characters += next.characters();
            saved.add(next);
        }
        List<TextKey> removed = new ArrayList<>();
        while (!mRemovable.isEmpty() && removed.size() < MAX_ENTRIES_PER_COMMIT) {
            removed.add(mRemovable.remove());
        }
        return new TextChanges(saved, removed);
    }

    /** Returns the segments that no commit has taken yet. */
    List<TextSegment> unsaved() {
        return List.copyOf(mUnsaved);
    }

    /** Returns the run of an item, without any event if none was reported yet. */
    OpenText open(int item, String itemId) {
        StoredText text = mTexts.get(itemId);
        return text == null
                ? new OpenText(item, itemId, "", "")
                : new OpenText(item, itemId, text.mRun, text.mLastRun);
    }

    private static final class StoredText {
        private final String mRun;
        private final List<TextKey> mKeys = new ArrayList<>();
        private String mLastRun;
        private long mNext;

        StoredText(String run, PartialText beginning) {
            mRun = run;
            mLastRun = beginning.lastRun();
            mNext = beginning.isEmpty() ? -1 : beginning.lastEvent() + 1;
            beginning.segments().forEach(segment -> mKeys.add(segment.key()));
        }

        void add(TextSegment segment) {
            mKeys.add(segment.key());
            mLastRun = mRun;
            mNext = segment.nextEvent();
        }
    }
}
