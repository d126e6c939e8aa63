package org.fuchsialever.decisions.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.decisions.queue.RankedItem;
import org.fuchsialever.decisions.queue.StepGroups;
import org.fuchsialever.decisions.queue.StepItem;
import org.fuchsialever.decisions.queue.StepOrder;
import org.fuchsialever.decisions.queue.StepPressure;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.jspecify.annotations.Nullable;

/** State of a submission that this instance owns: open items, finished results and commits. */
final class OwnedBatch {
    /** Stays below the store's limit of 100 entries per commit, including the state row. */
    private static final int MAX_RESULTS_PER_COMMIT = 40;

    /** Keeps a commit below the store's limit of 1 MB per request after text encoding. */
    private static final int MAX_CHARACTERS_PER_COMMIT = 400_000;

    /**
     * Estimates are often far off, so a text counts as long only at this multiple of the median.
     */
    private static final int MIN_LONG_RATIO = 2;

    /** Items of one submission share a due time; a finer unit leaves room to order them. */
    private static final long MICROS_PER_MILLI = 1_000;

    private final BatchSpec mSpec;
    private final long mMedianTokens;
    private final long mDueMicros;
    private final long mSpareDelayMicros;
    private final StepOrder mOrder;
    private final List<StepItem> mStepItems;
    private final StepGroups mGroups;
    private final long mSubmittedNanos;
    private long mGiveUpNanos;
    private final boolean mSingleVersion;
    private final Map<String, PartialText> mStoredTexts;
    private final OwnedTexts mOwnedTexts;
    private final Set<Integer> mUnfinished = new HashSet<>();
    private final Deque<Integer> mWaiting = new ArrayDeque<>();
    private final Set<Integer> mInProgress = new HashSet<>();
    private final Set<Integer> mDeferred = new HashSet<>();
    private final Map<Integer, GeneratedText> mTexts = new HashMap<>();
    private final Deque<ItemResult> mFinishedResults = new ArrayDeque<>();
    private final Map<Integer, Long> mRanks = new HashMap<>();
    private BatchState mState;
    private long mVersion;
    private BatchAction.@Nullable Commit mPendingCommit;
    private boolean mReleasing;
    private long mLastCommitNanos;
    private long mRetryAtNanos = Long.MAX_VALUE;

    /**
     * Creates the state of a submission.
     *
     * @param opening how many submissions this process had opened before
     */
    OwnedBatch(BatchEvent.OpenedBatch opened, int opening, long now) {
        mSpec = opened.spec();
        mState = opened.state();
        mVersion = opened.version();
        mMedianTokens = medianTokens(mSpec.items());
        mDueMicros = opened.dueAtMillis() * MICROS_PER_MILLI;
        mGiveUpNanos = opened.abandonAtNanos();
        mSubmittedNanos =
                opened.dueAtNanos()
                        - TimeUnit.MILLISECONDS.toNanos(
                                opened.dueAtMillis() - mState.submittedMillis());
        mSingleVersion = opened.singleVersion();
        mLastCommitNanos = now;
        mStoredTexts = opened.storedTexts();
        mOwnedTexts = new OwnedTexts(mSpec.id(), mState.epoch(), opening);
        for (int item = 0; item < mSpec.items().size(); item++) {
            if (!opened.finishedItems().contains(mSpec.items().get(item).id())) {
                mUnfinished.add(item);
            }
        }
        mOrder = opened.order();
        // Spare items yield to the needed ones of steps that are submitted until this one is due.
        mSpareDelayMicros = mDueMicros - mState.submittedMillis() * MICROS_PER_MILLI;
        mStepItems = stepItems();
        mGroups = new StepGroups(mStepItems, mSpec.targetGroupCount());
    }

    private List<StepItem> stepItems() {
        List<StepItem> items = new ArrayList<>();
        for (int index = 0; index < mSpec.items().size(); index++) {
            BatchItem item = mSpec.items().get(index);
            items.add(
                    new StepItem(
                            index,
                            item.group(),
                            item.expectedTokens(),
                            hasStoredText(index),
                            !mUnfinished.contains(index)));
        }
        return items;
    }

    String id() {
        return mSpec.id();
    }

    BatchState state() {
        return mState;
    }

    long version() {
        return mVersion;
    }

    long giveUpNanos() {
        return mGiveUpNanos;
    }

    /** Applies the time limit of a manifest; the last one holds if its route has ended. */
    void applyLimits(Manifest manifest) {
        manifest.route(mState.host(), mState.path())
                .map(ForwardRoute::abandonAfterMillis)
                .forEach(
                        limit ->
                                mGiveUpNanos =
                                        limit <= 0
                                                ? Duty.NO_TIMER
                                                : mSubmittedNanos
                                                        + TimeUnit.MILLISECONDS.toNanos(limit));
    }

    long retryAtNanos() {
        return mRetryAtNanos;
    }

    long lastCommitNanos() {
        return mLastCommitNanos;
    }

    boolean isReleasing() {
        return mReleasing;
    }

    /**
     * Orders the items without a result for their start.
     *
     * @param pressure how much work waits before the pool
     */
    void queueItems(StepPressure pressure) {
        List<RankedItem> order = mOrder.order(mStepItems, mSpec.targetGroupCount(), pressure);
        for (int rank = 0; rank < order.size(); rank++) {
            RankedItem ranked = order.get(rank);
            long due = mDueMicros + (ranked.spare() ? mSpareDelayMicros : 0);
            mRanks.put(ranked.index(), due + rank);
            mWaiting.add(ranked.index());
        }
    }

    boolean hasWaitingItems() {
        return !mWaiting.isEmpty();
    }

    boolean isQueuedFairly() {
        return mOrder == StepOrder.NEEDED_FIRST;
    }

    /** Returns the number of items without a result. */
    int openItems() {
        return mUnfinished.size();
    }

    /** Returns the number of items that are being generated or scored. */
    int itemsInProgress() {
        return mInProgress.size();
    }

    /** Starts the generation of the next waiting item. */
    void startNext(ActionSink<BatchAction> actions) {
        int item = mWaiting.remove();
        PartialText stored = storedText(item);
        mInProgress.add(item);
        if (stored.isAllowed(mSpec.minVersion()) && !mSingleVersion) {
            generate(item, stored, actions);
        } else {
            mOwnedTexts.discard(stored);
            generate(item, PartialText.NONE, actions);
        }
    }

    /** Notes that an item could not be passed on; nothing of it has run since. */
    void deferred(int item) {
        if (mUnfinished.contains(item)) {
            mDeferred.add(item);
        }
    }

    /** Repeats what was deferred: the scoring of a complete text, else the generation. */
    void repeatDeferred(ActionSink<BatchAction> actions) {
        for (int item : List.copyOf(mDeferred)) {
            mDeferred.remove(item);
            if (mTexts.containsKey(item)) {
                score(item, actions);
            } else if (mUnfinished.contains(item)) {
                mInProgress.remove(item);
                mWaiting.addFirst(item);
            }
        }
    }

    private boolean hasStoredText(int item) {
        return !storedText(item).isEmpty();
    }

    private PartialText storedText(int item) {
        return mStoredTexts.getOrDefault(mSpec.items().get(item).id(), PartialText.NONE);
    }

    private void generate(int item, PartialText beginning, ActionSink<BatchAction> actions) {
        String run = mOwnedTexts.begin(mSpec.items().get(item).id(), beginning);
        actions.emit(
                new BatchAction.Generate(
                        mSpec,
                        mState,
                        item,
                        run,
                        queueRank(item),
                        isExpectedLong(item),
                        beginning));
    }

    /** An item that was stopped before it ended has turned out to be long. */
    private boolean isExpectedLong(int item) {
        return hasStoredText(item)
                || mSpec.items().get(item).expectedTokens() > mMedianTokens * MIN_LONG_RATIO;
    }

    private static long medianTokens(List<BatchItem> items) {
        long[] known =
                items.stream()
                        .mapToLong(BatchItem::expectedTokens)
                        .filter(tokens -> tokens > 0)
                        .sorted()
                        .toArray();
        return known.length == 0 ? Long.MAX_VALUE / MIN_LONG_RATIO : known[known.length / 2];
    }

    private long queueRank(int item) {
        return mRanks.getOrDefault(item, mDueMicros + item);
    }

    private long scoringRank(int item) {
        return mOrder.scoringRank(
                queueRank(item),
                mDueMicros,
                mSpareDelayMicros,
                mGroups,
                mSpec.items().get(item).group());
    }

    /** Adds events of a text that is being generated; they are stored with the next commit. */
    void progressed(BatchEvent.Progressed part) {
        int item = part.item();
        if (mUnfinished.contains(item) && !mTexts.containsKey(item) && !mSingleVersion) {
            mOwnedTexts.add(
                    mSpec.items().get(item).id(),
                    part.run(),
                    part.firstEvent(),
                    part.events(),
                    part.versions());
        }
    }

    void generated(int item, String text, List<Long> versions, ActionSink<BatchAction> actions) {
        if (!mUnfinished.contains(item) || mTexts.containsKey(item)) {
            return;
        }
        boolean tooOld = versions.stream().anyMatch(used -> used < mSpec.minVersion());
        boolean mixed = mSingleVersion && versions.size() > 1;
        if (versions.isEmpty() || tooOld || mixed) {
            generate(item, PartialText.NONE, actions);
            return;
        }
        mTexts.put(item, new GeneratedText(text, versions));
        score(item, actions);
    }

    private void score(int item, ActionSink<BatchAction> actions) {
        BatchItem subject = mSpec.items().get(item);
        if (subject.scoringCall().isDefined()) {
            actions.emit(
                    new BatchAction.Score(
                            mSpec,
                            item,
                            subject.scoringCall().get(),
                            mState.team(),
                            scoringRank(item)));
        } else {
            scored(item, "");
        }
    }

    void scored(int item, String score) {
        GeneratedText text = mTexts.remove(item);
        if (text != null && mUnfinished.remove(item)) {
            mInProgress.remove(item);
            mGroups.finished(item);
            mOwnedTexts.drop(mSpec.items().get(item).id());
            mFinishedResults.add(
                    new ItemResult(
                            mSpec.items().get(item).id(), true, text.text, text.versions, score));
        }
    }

    void failed(int item) {
        mTexts.remove(item);
        if (mUnfinished.remove(item)) {
            mInProgress.remove(item);
            mGroups.finished(item);
            mOwnedTexts.drop(mSpec.items().get(item).id());
            mFinishedResults.add(ItemResult.abandoned(mSpec.items().get(item).id()));
        }
    }

    /** Stops all items without a result and lists them as abandoned. */
    void abandonUnfinished(ActionSink<BatchAction> actions) {
        mWaiting.clear();
        for (int item : List.copyOf(mUnfinished)) {
            actions.emit(new BatchAction.Stop(id(), item));
            failed(item);
        }
    }

    /** Writes finished results, or the state row alone as a heartbeat; one commit at a time. */
    void commit(long now, ActionSink<BatchAction> actions) {
        if (mPendingCommit != null) {
            return;
        }
        List<ItemResult> results = new ArrayList<>();
        int characters = 0;
        while (!mFinishedResults.isEmpty()
                && results.size() < MAX_RESULTS_PER_COMMIT
                && characters < MAX_CHARACTERS_PER_COMMIT) {
            ItemResult next = mFinishedResults.remove();
            characters += next.text().length();
            results.add(next);
        }
        BatchState next = mState.withResultCount(mState.resultCount() + results.size());
        if (mReleasing && mFinishedResults.isEmpty()) {
            next = next.withOwner("", "");
        }
        TextChanges texts = mOwnedTexts.take(MAX_CHARACTERS_PER_COMMIT - characters);
        mPendingCommit =
                new BatchAction.Commit(next, mVersion, mState.resultCount(), results, texts);
        mLastCommitNanos = now;
        mRetryAtNanos = Long.MAX_VALUE;
        actions.emit(mPendingCommit);
    }

    boolean hasFinishedResults() {
        return !mFinishedResults.isEmpty();
    }

    void committed(long newVersion) {
        if (mPendingCommit != null) {
            mState = mPendingCommit.state();
            mVersion = newVersion;
            mPendingCommit = null;
        }
    }

    /** Returns whether the current state shows that the unanswered commit was applied. */
    boolean wasCommitApplied(BatchState current) {
        BatchAction.Commit sent = mPendingCommit;
        return sent != null && !sent.results().isEmpty() && sent.state().equals(current);
    }

    /** Repeats the commit on top of the row version that another writer created. */
    void rebaseCommit(long newVersion, long now, ActionSink<BatchAction> actions) {
        BatchAction.Commit unanswered = mPendingCommit;
        if (unanswered != null) {
            mVersion = newVersion;
            mPendingCommit =
                    new BatchAction.Commit(
                            unanswered.state(),
                            newVersion,
                            unanswered.firstPosition(),
                            unanswered.results(),
                            unanswered.texts());
            mLastCommitNanos = now;
            actions.emit(mPendingCommit);
        }
    }

    /** Repeats an unanswered commit unchanged, so that it cannot be applied twice. */
    void repeatCommit(long now, ActionSink<BatchAction> actions) {
        BatchAction.Commit unanswered = mPendingCommit;
        if (unanswered != null) {
            mRetryAtNanos = Long.MAX_VALUE;
            mLastCommitNanos = now;
            actions.emit(unanswered);
        }
    }

    void scheduleRepeat(long nanos) {
        mRetryAtNanos = nanos;
    }

    void release(ActionSink<BatchAction> actions) {
        mReleasing = true;
        keepTexts(actions);
        stopAll(actions);
    }

    /** Stores the latest events of all texts that are being generated. */
    void keepTexts(ActionSink<BatchAction> actions) {
        if (mSpec.model().isEmpty() || mSingleVersion) {
            return;
        }
        List<TextSegment> reported = new ArrayList<>();
        if (mPendingCommit != null) {
            reported.addAll(mPendingCommit.texts().saved());
        }
        reported.addAll(mOwnedTexts.unsaved());
        List<OpenText> open = new ArrayList<>();
        for (int item : mUnfinished) {
            if (!mTexts.containsKey(item)) {
                open.add(mOwnedTexts.open(item, mSpec.items().get(item).id()));
            }
        }
        actions.emit(new BatchAction.KeepTexts(id(), mSpec.model(), reported, open));
    }

    void stopAll(ActionSink<BatchAction> actions) {
        mUnfinished.forEach(item -> actions.emit(new BatchAction.Stop(id(), item)));
        mUnfinished.clear();
        mWaiting.clear();
        mInProgress.clear();
        mDeferred.clear();
        mTexts.clear();
    }

    private record GeneratedText(String text, List<Long> versions) {}
}
