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

/** The rollouts of one trainer during one term of its lease. */
final class TrainerRollouts {
    private final RolloutSetup setup;
    private final RolloutLimits limits;
    private final InvariantMonitor invariants;
    private final SampleBudget budget;
    private final String tenureId;
    private final RetryDelay delays;
    private final CommitSequence commits;
    private final PendingPolls polls = new PendingPolls();
    private final Deque<RolloutEvent.GroupsSubmitted> submissions = new ArrayDeque<>();
    private @Nullable RestoredState state;
    private long storedObjectCount;
    private long nextAttempt;
    private int restoreCount;

    /**
     * Creates the state of one holding of a trainer's lease.
     *
     * @param holding identity of the holding, for commits and objects
     * @param firstAttempt the number of its first attempt
     */
    TrainerRollouts(RolloutSetup setup, SampleBudget budget, String holding, long firstAttempt) {
        this.setup = setup;
        this.limits = setup.limits();
        this.invariants = setup.invariants();
        this.budget = budget;
        this.delays = new RetryDelay(limits, setup.random());
        this.tenureId = holding;
        this.nextAttempt = firstAttempt;
        this.commits = new CommitSequence(holding, delays);
    }

    /** Reads the stored state; nothing else is done for the trainer before that. */
    void restore(long atLeastVersion, InvocationContext turn) {
        stopWork(turn);
        commits.clear();
        long delay = restoreCount == 0 ? 0 : delays.delayNanos(restoreCount);
        restoreCount++;
        turn.emit(new RolloutAction.Restore(turn.trainer(), turn.term(), atLeastVersion, delay));
    }

    /** Ends everything because the lease is lost. */
    void stop(InvocationContext turn) {
        stopWork(turn);
        polls.refuseAll(turn);
        for (RolloutEvent.GroupsSubmitted submitted : submissions) {
            refuse(submitted.request(), RolloutRefusal.NOT_HOLDER, turn);
        }
        submissions.clear();
    }

    /** Takes the stored state and confirms with a commit that it is the present one. */
    void onRestored(RestoredLog stored, InvocationContext turn) {
        if (state != null) {
            return;
        }
        RestoredState restored = new RestoredState(stored, turn.now());
        state = restored;
        commits.onRestored(stored.headVersion());
        sendCursor(restored, turn);
    }

    void onGroupsSubmitted(RolloutEvent.GroupsSubmitted event, InvocationContext turn) {
        int largest =
                event.submission().groups().stream().mapToInt(GroupSpec::samples).max().orElse(0);
        if (largest > budget.capacity()) {
            refuse(event.request(), RolloutRefusal.GROUP_TOO_LARGE, turn);
        } else if (submissions.size() >= limits.maxOpenPolls()) {
            refuse(event.request(), RolloutRefusal.TOO_MANY, turn);
        } else {
            submissions.add(event);
        }
    }

    void onSamplesRequested(RolloutEvent.SamplesRequested event, InvocationContext turn) {
        if (polls.size() >= limits.maxOpenPolls()) {
            refuse(event.request(), RolloutRefusal.TOO_MANY, turn);
        } else {
            polls.add(event, turn.now());
        }
    }

    void onCursorAcknowledged(RolloutEvent.CursorAcknowledged event, InvocationContext turn) {
        if (state == null || !state.confirmed) {
            refuse(event.request(), RolloutRefusal.NOT_HOLDER, turn);
        } else if (event.cursor() > state.log.end()) {
            refuse(event.request(), RolloutRefusal.CURSOR_BEYOND_END, turn);
        } else {
            if (state.log.acknowledge(event.cursor())) {
                state.cursorCommitDueAt =
                        Math.min(
                                state.cursorCommitDueAt,
                                turn.now() + limits.maxBatchDelay().toNanos());
            }
            turn.emit(new RolloutAction.Accept(turn.trainer(), event.request(), 0));
        }
    }

    void onVersionObserved(RolloutEvent.VersionObserved event) {
        if (state != null) {
            state.staleness.observe(event.version());
        }
    }

    void onSampleGenerated(RolloutEvent.SampleGenerated event, InvocationContext turn) {
        if (state == null) {
            turn.count(RolloutCounter.DROPPED, 1);
        } else {
            state.pipeline.onGenerated(event.attempt(), event.sample(), turn);
        }
    }

    void onSampleJudged(RolloutEvent.SampleJudged event, InvocationContext turn) {
        if (state == null) {
            turn.count(RolloutCounter.DROPPED, 1);
        } else {
            state.pipeline.onJudged(event.attempt(), event.score(), turn);
        }
    }

    void onSampleFailed(RolloutEvent.SampleFailed event, InvocationContext turn) {
        if (state != null) {
            state.pipeline.onFailed(event.attempt(), turn);
        }
    }

    void onBatchStored(String object) {
        if (state != null && state.batch != null && state.batch.object().equals(object)) {
            state.batch.markStored();
        }
    }

    void onStoreFailed(String object, InvocationContext turn) {
        if (state != null
                && state.batch != null
                && !state.batch.isStored()
                && state.batch.object().equals(object)) {
            state.batch.scheduleStoreRetry(turn.now(), delays);
        }
    }

    void onCommitSucceeded(String writer, long version, InvocationContext turn) {
        if (state != null && commits.isAwaiting(writer)) {
            restoreCount = 0;
            state.onCommitted(commits.onCommitted(version), turn);
        }
    }

    void onCommitOutcomeUnknown(String writer, InvocationContext turn) {
        if (commits.isAwaiting(writer)) {
            commits.scheduleRetry(turn.now());
        }
    }

    /**
     * Resolves a conflict: the writer in the head row tells whether an earlier attempt of the same
     * commit took effect. A conflict of the guard row alone is tried again, because either the
     * lease was renewed or its loss is about to be reported.
     */
    void onCommitConflicted(RolloutEvent.CommitConflicted event, InvocationContext turn) {
        if (state == null || !commits.isAwaiting(event.writer())) {
            return;
        }
        if (event.head().exists(row -> row.writer().equals(event.writer()))) {
            onCommitSucceeded(event.writer(), event.head().get().version(), turn);
        } else if (event.head().isDefined()) {
            turn.count(RolloutCounter.COMMIT_CONFLICTED, 1);
            restore(event.head().get().version(), turn);
        } else if (event.submittedObject().isDefined()) {
            state.answerSubmittedStep(event.submittedObject().get(), turn);
        } else {
            commits.scheduleRetry(turn.now());
        }
    }

    void onTimer(InvocationContext turn) {
        commits.retryIfDue(turn);
        if (state != null) {
            state.pipeline.onTimer(state.steps.values(), turn);
            if (state.batch != null) {
                state.batch.retryIfDue(turn);
            }
        }
    }

    /** Does whatever has become possible. */
    void runPendingWork(InvocationContext turn) {
        if (state != null && state.confirmed) {
            state.pipeline.startPending(turn);
            state.sealBatch(turn);
            state.sendNextCommit(turn);
            polls.serveAll(turn, (poll, idle) -> deliver(state, poll, idle, turn));
        } else {
            polls.endExpired(turn);
        }
    }

    long nextTimer() {
        long next = Math.min(polls.nextTimer(), commits.retryAt());
        return state == null ? next : Math.min(next, state.nextTimer());
    }

    /** Returns the urgency of the oldest step, or the least one if there is none. */
    int urgency(long now) {
        if (state == null || state.steps.isEmpty()) {
            return Integer.MIN_VALUE;
        }
        return state.steps.firstEntry().getValue().urgency(now);
    }

    private boolean deliver(
            @Nullable RestoredState from,
            PendingPolls.Poll poll,
            long idle,
            InvocationContext turn) {
        if (from == null) {
            return false;
        }
        if (poll.cursor() > from.log.end()) {
            refuse(poll.request(), RolloutRefusal.CURSOR_BEYOND_END, turn);
            return true;
        }
        long cursor = Math.max(poll.cursor(), from.log.acknowledged());
        for (long position : from.log.markStaleForReplacement(cursor, poll.limit(), from.isStale)) {
            SampleId id = from.log.entry(position).id();
            from.pipeline.replace(from.step(id).sample(id), position, turn);
        }
        from.pipeline.startPending(turn);
        List<BatchEntry> entries = from.log.deliverable(cursor, poll.limit(), from.isStale);
        if (entries.isEmpty()) {
            return false;
        }
        long staleness = 0;
        for (BatchEntry entry : entries) {
            long lag = from.staleness.newest().number() - entry.oldest().number();
            invariants.check(
                    Invariant.SAMPLE_WITHIN_STALENESS,
                    lag <= from.step(entry.id()).submission().maxStaleness(),
                    () -> entry.id() + " lags " + lag + " versions");
            staleness = Math.max(staleness, lag);
        }
        turn.count(RolloutCounter.DELIVERED, entries.size());
        turn.emit(
                new RolloutAction.Deliver(
                        turn.trainer(), poll.request(), cursor, entries, idle, staleness));
        return true;
    }

    private void sendCursor(RestoredState from, InvocationContext turn) {
        HeadCommit commit = from.commitFactory.cursor(commits.nextWriter(), commits.headVersion());
        from.cursorCommitDueAt = Duty.NO_TIMER;
        commits.send(
                commit, new RolloutAction.CommitCursor(turn.trainer(), turn.term(), commit), turn);
    }

    private void stopWork(InvocationContext turn) {
        if (state != null) {
            state.pipeline.stop(turn);
            nextAttempt = state.pipeline.nextAttempt();
            state = null;
        }
    }

    private void refuse(long request, RolloutRefusal reason, InvocationContext turn) {
        turn.emit(new RolloutAction.Refuse(turn.trainer(), request, reason));
    }

    /** State that is known only after it was read. */
    private final class RestoredState {
        private final DeliveryLog log;
        private final TreeMap<Long, StepState> steps = new TreeMap<>();
        private final StalenessTracker staleness;
        private final BatchBuilder batchBuilder = new BatchBuilder(limits);
        private final SamplePipeline pipeline;
        private final HeadCommitFactory commitFactory;
        private final Predicate<BatchEntry> isStale;
        private @Nullable PendingBatch batch;
        private boolean confirmed;
        private long cursorCommitDueAt = Duty.NO_TIMER;

        RestoredState(RestoredLog stored, long now) {
            log = new DeliveryLog(stored.head(), stored.batches(), invariants);
            staleness = new StalenessTracker(stored.head().newest());
            pipeline = new SamplePipeline(setup, budget, staleness, batchBuilder, nextAttempt);
            commitFactory = new HeadCommitFactory(log, steps, staleness);
            isStale =
                    entry ->
                            staleness.isStale(
                                    entry.oldest(), step(entry.id()).submission().maxStaleness());
            for (RestoredLog.RestoredSubmission known : stored.submissions()) {
                StepState step = new StepState(known.submission(), now - known.ageNanos());
                steps.put(known.submission().step(), step);
            }
            for (BatchRecord record : log.batches()) {
                markCommitted(record);
            }
        }

        StepState step(SampleId id) {
            StepState step = steps.get(id.step());
            if (step == null) {
                throw new IllegalStateException("the step of " + id + " is closed");
            }
            return step;
        }

        void onCommitted(HeadCommit commit, InvocationContext turn) {
            if (!confirmed) {
                confirmed = true;
                steps.values().forEach(pipeline::add);
            }
            if (!commit.submission().isEmpty()) {
                Submission submission = commit.submission().get();
                StepState step = new StepState(submission, turn.now());
                steps.put(submission.step(), step);
                pipeline.add(step);
                accept(step, turn);
            }
            PendingBatch fixedBatch = batch;
            boolean withBatch = fixedBatch != null && fixedBatch.isStored() && batchCommitSent;
            if (withBatch && fixedBatch != null) {
                applyCommittedBatch(fixedBatch, commit);
                batch = null;
                batchCommitSent = false;
            }
            log.onCommitted(commit);
            steps.keySet().retainAll(commit.head().openSteps());
        }

        private boolean batchCommitSent;

        private void applyCommittedBatch(PendingBatch fixedBatch, HeadCommit commit) {
            long position = log.end();
            for (SampleState sample : fixedBatch.samples()) {
                invariants.check(
                        Invariant.SAMPLE_EXACTLY_ONCE,
                        sample.stage() == SampleState.Stage.BATCHED,
                        () -> sample.id() + " was fixed twice by " + commit.writer());
                if (sample.isReplacement()) {
                    log.onReplaced(sample.position());
                } else {
                    sample.group().step().onCommittedAt(position);
                    position++;
                }
                pipeline.onCommitted(sample);
            }
            invariants.check(
                    Invariant.SAMPLE_EXACTLY_ONCE,
                    position == commit.head().nextPosition(),
                    () -> "positions of " + commit.writer() + " do not follow each other");
        }

        void answerSubmittedStep(String knownObject, InvocationContext turn) {
            commits.clear();
            RolloutEvent.GroupsSubmitted event = submissions.remove();
            answerRepeat(event, knownObject, turn);
        }

        void sealBatch(InvocationContext turn) {
            while (batch == null && batchBuilder.dueNanos() <= turn.now()) {
                List<SampleState> fresh = pipeline.withoutStale(batchBuilder.takeBatch(), turn);
                if (!fresh.isEmpty()) {
                    storedObjectCount++;
                    String object =
                            "samples/" + turn.trainer() + "/" + tenureId + "-" + storedObjectCount;
                    PendingBatch next = new PendingBatch(object, fresh);
                    batch = next;
                    next.store(turn);
                }
            }
        }

        void sendNextCommit(InvocationContext turn) {
            answerWithoutCommit(turn);
            if (!commits.isIdle()) {
                return;
            }
            RolloutEvent.GroupsSubmitted submitted = submissions.peek();
            if (submitted != null) {
                HeadCommit commit =
                        commitFactory.submission(
                                commits.nextWriter(),
                                commits.headVersion(),
                                submitted.submission());
                commits.send(
                        commit,
                        new RolloutAction.CommitCursor(turn.trainer(), turn.term(), commit),
                        turn);
            } else if (batch != null && batch.isStored()) {
                HeadCommit commit =
                        commitFactory.batch(commits.nextWriter(), commits.headVersion(), batch);
                batchCommitSent = true;
                cursorCommitDueAt = Duty.NO_TIMER;
                commits.send(
                        commit,
                        new RolloutAction.CommitBatch(turn.trainer(), turn.term(), commit),
                        turn);
            } else if (cursorCommitDueAt <= turn.now()) {
                sendCursor(this, turn);
            }
        }

        long nextTimer() {
            long next = pipeline.nextTimer();
            if (batch != null) {
                next = Math.min(next, batch.retryAt());
            } else if (confirmed) {
                next = Math.min(next, batchBuilder.dueNanos());
            }
            return confirmed && commits.isIdle() ? Math.min(next, cursorCommitDueAt) : next;
        }

        /** Answers submissions that need no commit, as long as none is in progress. */
        private void answerWithoutCommit(InvocationContext turn) {
            while (commits.isIdle() && !submissions.isEmpty()) {
                RolloutEvent.GroupsSubmitted event = submissions.element();
                StepState known = steps.get(event.submission().step());
                if (known != null) {
                    submissions.remove();
                    answerRepeat(event, known.submission().object(), turn);
                } else if (openSamples() + event.submission().sampleCount()
                        > limits.maxOpenSamples()) {
                    submissions.remove();
                    refuse(event.request(), RolloutRefusal.TOO_MANY, turn);
                } else {
                    return;
                }
            }
        }

        private int openSamples() {
            return steps.values().stream().mapToInt(StepState::total).sum();
        }

        private void accept(StepState step, InvocationContext turn) {
            RolloutEvent.GroupsSubmitted event = submissions.remove();
            turn.emit(new RolloutAction.Accept(turn.trainer(), event.request(), step.total()));
        }

        private void answerRepeat(
                RolloutEvent.GroupsSubmitted event, String knownObject, InvocationContext turn) {
            if (knownObject.equals(event.submission().object())) {
                int total = event.submission().sampleCount();
                turn.emit(new RolloutAction.Accept(turn.trainer(), event.request(), total));
            } else {
                refuse(event.request(), RolloutRefusal.STEP_DIFFERS, turn);
            }
        }

        private void markCommitted(BatchRecord record) {
            long position = record.firstPosition();
            for (BatchEntry entry : record.entries()) {
                StepState step = steps.get(entry.id().step());
                if (step != null) {
                    SampleState sample = step.sample(entry.id());
                    invariants.check(
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
