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

    /**
     * Creates the texts of a submission. The arguments make the names of runs unique.
     *
     * @param epoch differs between the instances and processes that own the submission in turn
     * @param opening differs when a process opens the submission again under the same epoch
     */
    OwnedTexts(String id, long epoch, int opening) {
        mRunPrefix = id + "/" + epoch + "/" + opening + "/";
    }

    /** Begins a run of an item after its stored beginning, which may be empty; returns its name. */
    String begin(String itemId, PartialText beginning) {
        drop(itemId);
        StoredText text = new StoredText(mRunPrefix + mRuns++, beginning);
        mTexts.put(itemId, text);
        return text.mRun;
    }

    /** Makes the stored segments of an item removable that no run of it uses. */
    void discard(PartialText unused) {
        unused.segments().forEach(segment -> mRemovable.add(segment.key()));
    }

    /** Adds events of a run, unless it is no longer the current run of the item. */
    void add(String itemId, String run, long firstEvent, List<String> events, List<Long> versions) {
        StoredText text = mTexts.get(itemId);
        if (text == null || !text.mRun.equals(run) || events.isEmpty()) {
            return;
        }
        if (text.mNext != OpenText.FROM_FIRST && text.mNext != firstEvent) {
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

    /** Returns the run of an item and the event that follows those added so far. */
    OpenText open(int item, String itemId) {
        StoredText text = mTexts.get(itemId);
        return text == null
                ? new OpenText(item, itemId, "", "", OpenText.FROM_FIRST)
                : new OpenText(item, itemId, text.mRun, text.mLastRun, text.mNext);
    }

    private static final class StoredText {
        private final String mRun;
        private final List<TextKey> mKeys = new ArrayList<>();
        private String mLastRun;
        private long mNext;

        StoredText(String run, PartialText beginning) {
            mRun = run;
            mLastRun = beginning.lastRun();
            mNext = beginning.isEmpty() ? OpenText.FROM_FIRST : beginning.lastEvent() + 1;
            beginning.segments().forEach(segment -> mKeys.add(segment.key()));
        }

        void add(TextSegment segment) {
            mKeys.add(segment.key());
            mLastRun = mRun;
            mNext = segment.nextEvent();
        }
    }
}
