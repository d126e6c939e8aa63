package org.fuchsialever.decisions.samples;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.jspecify.annotations.Nullable;

/** The rollouts of one trainer during one tenure of its lease. */
final class TrainerRollouts {
    private final RolloutSetup mSetup;
    private final RolloutLimits mLimits;
    private final InvariantMonitor mInvariants;
    private final SampleBudget mBudget;
    private final String mTenureId;
    private final RetryDelay mDelays;
    private final CommitSequence mCommits;
    private final PendingPolls mPolls = new PendingPolls();
    private final Deque<RolloutEvent.GroupsSubmitted> mSubmissions = new ArrayDeque<>();
    private @Nullable RestoredState mState;
    private long mStoredObjectCount;
    private long mNextAttempt;
    private int mRestoreCount;

    /**
     * Creates the state of one tenure of a trainer's lease: a period in which this instance holds
     * it without interruption.
     *
     * @param tenureId unique ID of the tenure; prefix of the IDs of commits and objects
     * @param firstAttempt number of the first attempt of the tenure
     */
    TrainerRollouts(RolloutSetup setup, SampleBudget budget, String tenureId, long firstAttempt) {
        mSetup = setup;
        mLimits = setup.limits();
        mInvariants = setup.invariants();
        mBudget = budget;
        mDelays = new RetryDelay(mLimits, setup.random());
        mTenureId = tenureId;
        mNextAttempt = firstAttempt;
        mCommits = new CommitSequence(tenureId, mDelays);
    }

    /** Requests the stored state; no other work for the trainer starts before it has been read. */
    void restore(long atLeastVersion, InvocationContext context) {
        stopWork(context);
        mCommits.clear();
        long delay = mRestoreCount == 0 ? 0 : mDelays.delayNanos(mRestoreCount);
        mRestoreCount++;
        context.emit(
                new RolloutAction.Restore(
                        context.trainer(), context.term(), atLeastVersion, delay));
    }

    /** Ends all work because the lease is lost. */
    void stop(InvocationContext context) {
        stopWork(context);
        mPolls.refuseAll(context);
        for (RolloutEvent.GroupsSubmitted submitted : mSubmissions) {
            refuse(submitted.request(), RolloutRefusal.NOT_HOLDER, context);
        }
        mSubmissions.clear();
    }

    /** Applies the stored state and verifies by a commit that it is current. */
    void onRestored(RestoredLog stored, InvocationContext context) {
        if (mState != null) {
            return;
        }
        RestoredState restored = new RestoredState(stored, context.now());
        mState = restored;
        mCommits.onRestored(stored.headVersion());
        sendCursor(restored, context);
    }

    void onGroupsSubmitted(RolloutEvent.GroupsSubmitted event, InvocationContext context) {
        int largest =
                event.submission().groups().stream().mapToInt(GroupSpec::samples).max().orElse(0);
        if (largest > mBudget.capacity()) {
            refuse(event.request(), RolloutRefusal.GROUP_TOO_LARGE, context);
        } else if (mSubmissions.size() >= mLimits.maxOpenPolls()) {
            refuse(event.request(), RolloutRefusal.TOO_MANY, context);
        } else {
            mSubmissions.add(event);
        }
    }

    void onSamplesRequested(RolloutEvent.SamplesRequested event, InvocationContext context) {
        if (mPolls.size() >= mLimits.maxOpenPolls()) {
            refuse(event.request(), RolloutRefusal.TOO_MANY, context);
        } else {
            mPolls.add(event, context.now());
        }
    }

    void onCursorAcknowledged(RolloutEvent.CursorAcknowledged event, InvocationContext context) {
        if (mState == null || !mState.mConfirmed) {
            refuse(event.request(), RolloutRefusal.NOT_HOLDER, context);
        } else if (event.cursor() > mState.mLog.end()) {
            refuse(event.request(), RolloutRefusal.CURSOR_BEYOND_END, context);
        } else {
            if (mState.mLog.acknowledge(event.cursor())) {
                mState.mCursorCommitDueAt =
                        Math.min(
                                mState.mCursorCommitDueAt,
                                context.now() + mLimits.maxBatchDelay().toNanos());
            }
            context.emit(new RolloutAction.Accept(context.trainer(), event.request(), 0));
        }
    }

    void onVersionObserved(RolloutEvent.VersionObserved event) {
        if (mState != null) {
            mState.mStaleness.observe(event.version());
        }
    }

    void onSampleGenerated(RolloutEvent.SampleGenerated event, InvocationContext context) {
        if (mState == null) {
            context.count(RolloutCounter.DROPPED, 1);
        } else {
            mState.mPipeline.onGenerated(event.attempt(), event.sample(), context);
        }
    }

    void onSampleJudged(RolloutEvent.SampleJudged event, InvocationContext context) {
        if (mState == null) {
            context.count(RolloutCounter.DROPPED, 1);
        } else {
            mState.mPipeline.onJudged(event.attempt(), event.score(), context);
        }
    }

    void onSampleFailed(RolloutEvent.SampleFailed event, InvocationContext context) {
        if (mState != null) {
            mState.mPipeline.onFailed(event.attempt(), context);
        }
    }

    void onBatchStored(String object) {
        if (mState != null && mState.mBatch != null && mState.mBatch.object().equals(object)) {
            mState.mBatch.markStored();
        }
    }

    void onStoreFailed(String object, InvocationContext context) {
        if (mState != null
                && mState.mBatch != null
                && !mState.mBatch.isStored()
                && mState.mBatch.object().equals(object)) {
            mState.mBatch.scheduleStoreRetry(context.now(), mDelays);
        }
    }

    void onCommitSucceeded(String writer, long version, InvocationContext context) {
        if (mState != null && mCommits.isAwaiting(writer)) {
            mRestoreCount = 0;
            mState.onCommitted(mCommits.onCommitted(version), context);
        }
    }

    void onCommitOutcomeUnknown(String writer, InvocationContext context) {
        if (mCommits.isAwaiting(writer)) {
            mCommits.scheduleRetry(context.now());
        }
    }

    /**
     * Resolves a conflict. The writer in the head row shows whether an earlier attempt of the same
     * commit took effect. After a conflict on the guard row alone the commit is retried, because
     * either the lease was renewed or its loss is about to be reported.
     */
    void onCommitConflicted(RolloutEvent.CommitConflicted event, InvocationContext context) {
        if (mState == null || !mCommits.isAwaiting(event.writer())) {
            return;
        }
        if (event.head().exists(row -> row.writer().equals(event.writer()))) {
            onCommitSucceeded(event.writer(), event.head().get().version(), context);
        } else if (event.head().isDefined()) {
            context.count(RolloutCounter.COMMIT_CONFLICTED, 1);
            restore(event.head().get().version(), context);
        } else if (event.submittedObject().isDefined()) {
            mState.answerSubmittedStep(event.submittedObject().get(), context);
        } else {
            mCommits.scheduleRetry(context.now());
        }
    }

    void onTimer(InvocationContext context) {
        mCommits.retryIfDue(context);
        if (mState != null) {
            mState.mPipeline.onTimer(mState.mSteps.values(), context);
            if (mState.mBatch != null) {
                mState.mBatch.retryIfDue(context);
            }
        }
    }

    /** Starts all work that has become possible since the last call. */
    void runPendingWork(InvocationContext context) {
        if (mState != null && mState.mConfirmed) {
            mState.mPipeline.startPending(context);
            mState.sealBatch(context);
            mState.sendNextCommit(context);
            mPolls.serveAll(context, (poll, idle) -> deliver(mState, poll, idle, context));
        } else {
            mPolls.endExpired(context);
        }
    }

    long nextTimer() {
        long next = Math.min(mPolls.nextTimer(), mCommits.retryAt());
        return mState == null ? next : Math.min(next, mState.nextTimer());
    }

    /** Returns the urgency of the oldest step, or {@link Integer#MIN_VALUE} if there is none. */
    int urgency(long now) {
        if (mState == null || mState.mSteps.isEmpty()) {
            return Integer.MIN_VALUE;
        }
        return mState.mSteps.firstEntry().getValue().urgency(now);
    }

    private boolean deliver(
            @Nullable RestoredState current,
            PendingPolls.Poll poll,
            long idle,
            InvocationContext context) {
        if (current == null) {
            return false;
        }
        if (poll.cursor() > current.mLog.end()) {
            refuse(poll.request(), RolloutRefusal.CURSOR_BEYOND_END, context);
            return true;
        }
        long cursor = Math.max(poll.cursor(), current.mLog.acknowledged());
        for (long position :
                current.mLog.markStaleForReplacement(cursor, poll.limit(), current.mIsStale)) {
            SampleId id = current.mLog.entry(position).id();
            current.mPipeline.replace(current.step(id).sample(id), position, context);
        }
        current.mPipeline.startPending(context);
        List<BatchEntry> entries = current.mLog.deliverable(cursor, poll.limit(), current.mIsStale);
        if (entries.isEmpty()) {
            return false;
        }
        long staleness = 0;
        for (BatchEntry entry : entries) {
            long lag = current.mStaleness.newest().number() - entry.oldest().number();
            mInvariants.check(
                    Invariant.SAMPLE_WITHIN_STALENESS,
                    lag <= current.step(entry.id()).submission().maxStaleness(),
                    () -> entry.id() + " lags " + lag + " versions");
            staleness = Math.max(staleness, lag);
        }
        context.count(RolloutCounter.DELIVERED, entries.size());
        context.emit(
                new RolloutAction.Deliver(
                        context.trainer(), poll.request(), cursor, entries, idle, staleness));
        return true;
    }

    private void sendCursor(RestoredState current, InvocationContext context) {
        HeadCommit commit =
                current.mCommitFactory.cursor(mCommits.nextWriter(), mCommits.headVersion());
        current.mCursorCommitDueAt = Duty.NO_TIMER;
        mCommits.send(
                commit,
                new RolloutAction.CommitCursor(context.trainer(), context.term(), commit),
                context);
    }

    private void stopWork(InvocationContext context) {
        if (mState != null) {
            mState.mPipeline.stop(context);
            mNextAttempt = mState.mPipeline.nextAttempt();
            mState = null;
        }
    }

    private void refuse(long request, RolloutRefusal reason, InvocationContext context) {
        context.emit(new RolloutAction.Refuse(context.trainer(), request, reason));
    }

    /** State that is available only after it has been restored. */
    private final class RestoredState {
        private final DeliveryLog mLog;
        private final TreeMap<Long, StepState> mSteps = new TreeMap<>();
        private final StalenessTracker mStaleness;
        private final BatchBuilder mBatchBuilder = new BatchBuilder(mLimits);
        private final SamplePipeline mPipeline;
        private final HeadCommitFactory mCommitFactory;
        private final Predicate<BatchEntry> mIsStale;
        private @Nullable PendingBatch mBatch;
        private boolean mConfirmed;
        private long mCursorCommitDueAt = Duty.NO_TIMER;

        RestoredState(RestoredLog stored, long now) {
            mLog = new DeliveryLog(stored.head(), stored.batches(), mInvariants);
            mStaleness = new StalenessTracker(stored.head().newest());
            mPipeline =
                    new SamplePipeline(mSetup, mBudget, mStaleness, mBatchBuilder, mNextAttempt);
            mCommitFactory = new HeadCommitFactory(mLog, mSteps, mStaleness);
            mIsStale =
                    entry ->
                            mStaleness.isStale(
                                    entry.oldest(), step(entry.id()).submission().maxStaleness());
            for (RestoredLog.RestoredSubmission known : stored.submissions()) {
                StepState step = new StepState(known.submission(), now - known.ageNanos());
                mSteps.put(known.submission().step(), step);
            }
            for (BatchRecord record : mLog.batches()) {
                markCommitted(record);
            }
        }

        StepState step(SampleId id) {
            StepState step = mSteps.get(id.step());
            if (step == null) {
                throw new IllegalStateException("the step of " + id + " is closed");
            }
            return step;
        }

        void onCommitted(HeadCommit commit, InvocationContext context) {
            if (!mConfirmed) {
                mConfirmed = true;
                mSteps.values().forEach(mPipeline::add);
            }
            if (!commit.submission().isEmpty()) {
                Submission submission = commit.submission().get();
                StepState step = new StepState(submission, context.now());
                mSteps.put(submission.step(), step);
                mPipeline.add(step);
                accept(step, context);
            }
            PendingBatch fixedBatch = mBatch;
            boolean withBatch = fixedBatch != null && fixedBatch.isStored() && mBatchCommitSent;
            if (withBatch && fixedBatch != null) {
                applyCommittedBatch(fixedBatch, commit);
                mBatch = null;
                mBatchCommitSent = false;
            }
            mLog.onCommitted(commit);
            mSteps.keySet().retainAll(commit.head().openSteps());
        }

        private boolean mBatchCommitSent;

        private void applyCommittedBatch(PendingBatch fixedBatch, HeadCommit commit) {
            long position = mLog.end();
            for (SampleState sample : fixedBatch.samples()) {
                mInvariants.check(
                        Invariant.SAMPLE_EXACTLY_ONCE,
                        sample.stage() == SampleState.Stage.BATCHED,
                        () -> sample.id() + " was fixed twice by " + commit.writer());
                if (sample.isReplacement()) {
                    mLog.onReplaced(sample.position());
                } else {
                    sample.group().step().onCommittedAt(position);
                    position++;
                }
                mPipeline.onCommitted(sample);
            }
            mInvariants.check(
                    Invariant.SAMPLE_EXACTLY_ONCE,
                    position == commit.head().nextPosition(),
                    () -> "positions of " + commit.writer() + " do not follow each other");
        }

        void answerSubmittedStep(String knownObject, InvocationContext context) {
            mCommits.clear();
            RolloutEvent.GroupsSubmitted event = mSubmissions.remove();
            answerRepeat(event, knownObject, context);
        }

        void sealBatch(InvocationContext context) {
            while (mBatch == null && mBatchBuilder.dueNanos() <= context.now()) {
                List<SampleState> fresh =
                        mPipeline.withoutStale(mBatchBuilder.takeBatch(), context);
                if (!fresh.isEmpty()) {
                    mStoredObjectCount++;
                    String object =
                            "samples/"
                                    + context.trainer()
                                    + "/"
                                    + mTenureId
                                    + "-"
                                    + mStoredObjectCount;
                    PendingBatch next = new PendingBatch(object, fresh);
                    mBatch = next;
                    next.store(context);
                }
            }
        }

        void sendNextCommit(InvocationContext context) {
            answerWithoutCommit(context);
            if (!mCommits.isIdle()) {
                return;
            }
            RolloutEvent.GroupsSubmitted submitted = mSubmissions.peek();
            if (submitted != null) {
                HeadCommit commit =
                        mCommitFactory.submission(
                                mCommits.nextWriter(),
                                mCommits.headVersion(),
                                submitted.submission());
                mCommits.send(
                        commit,
                        new RolloutAction.CommitCursor(context.trainer(), context.term(), commit),
                        context);
            } else if (mBatch != null && mBatch.isStored()) {
                HeadCommit commit =
                        mCommitFactory.batch(mCommits.nextWriter(), mCommits.headVersion(), mBatch);
                mBatchCommitSent = true;
                mCursorCommitDueAt = Duty.NO_TIMER;
                mCommits.send(
                        commit,
                        new RolloutAction.CommitBatch(context.trainer(), context.term(), commit),
                        context);
            } else if (mCursorCommitDueAt <= context.now()) {
                sendCursor(this, context);
            }
        }

        long nextTimer() {
            long next = mPipeline.nextTimer();
            if (mBatch != null) {
                next = Math.min(next, mBatch.retryAt());
            } else if (mConfirmed) {
                next = Math.min(next, mBatchBuilder.dueNanos());
            }
            return mConfirmed && mCommits.isIdle() ? Math.min(next, mCursorCommitDueAt) : next;
        }

        /** Answers queued submissions that need no commit; stops while a commit is in progress. */
        private void answerWithoutCommit(InvocationContext context) {
            while (mCommits.isIdle() && !mSubmissions.isEmpty()) {
                RolloutEvent.GroupsSubmitted event = mSubmissions.element();
                StepState known = mSteps.get(event.submission().step());
                if (known != null) {
                    mSubmissions.remove();
                    answerRepeat(event, known.submission().object(), context);
                } else if (openSamples() + event.submission().sampleCount()
                        > mLimits.maxOpenSamples()) {
                    mSubmissions.remove();
                    refuse(event.request(), RolloutRefusal.TOO_MANY, context);
                } else {
                    return;
                }
            }
        }

        private int openSamples() {
            return mSteps.values().stream().mapToInt(StepState::total).sum();
        }

        private void accept(StepState step, InvocationContext context) {
            RolloutEvent.GroupsSubmitted event = mSubmissions.remove();
            context.emit(
                    new RolloutAction.Accept(context.trainer(), event.request(), step.total()));
        }

        private void answerRepeat(
                RolloutEvent.GroupsSubmitted event, String knownObject, InvocationContext context) {
            if (knownObject.equals(event.submission().object())) {
                int total = event.submission().sampleCount();
                context.emit(new RolloutAction.Accept(context.trainer(), event.request(), total));
            } else {
                refuse(event.request(), RolloutRefusal.STEP_DIFFERS, context);
            }
        }

        private void markCommitted(BatchRecord record) {
            long position = record.firstPosition();
            for (BatchEntry entry : record.entries()) {
                StepState step = mSteps.get(entry.id().step());
                if (step != null) {
                    SampleState sample = step.sample(entry.id());
                    mInvariants.check(
                            Invariant.SAMPLE_EXACTLY_ONCE,
                            sample.stage() == SampleState.Stage.PENDING,
                            () -> entry.id() + " has two positions");
                    sample.moveTo(SampleState.Stage.COMMITTED);
                    step.onCommittedAt(position);
                }
                position++;
            }
        }
    }
}
