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
     * Creates the state of one tenure of a trainer's lease: a period in which this instance holds
     * it without interruption.
     *
     * @param tenureId unique ID of the tenure; prefix of the IDs of commits and objects
     * @param firstAttempt number of the first attempt of the tenure
     */
    TrainerRollouts(RolloutSetup setup, SampleBudget budget, String tenureId, long firstAttempt) {
        this.setup = setup;
        this.limits = setup.limits();
        this.invariants = setup.invariants();
        this.budget = budget;
        this.delays = new RetryDelay(limits, setup.random());
        this.tenureId = tenureId;
        this.nextAttempt = firstAttempt;
        this.commits = new CommitSequence(tenureId, delays);
    }

    /** Requests the stored state; no other work for the trainer starts before it has been read. */
    void restore(long atLeastVersion, InvocationContext context) {
        stopWork(context);
        commits.clear();
        long delay = restoreCount == 0 ? 0 : delays.delayNanos(restoreCount);
        restoreCount++;
        context.emit(
                new RolloutAction.Restore(
                        context.trainer(), context.term(), atLeastVersion, delay));
    }

    /** Ends all work because the lease is lost. */
    void stop(InvocationContext context) {
        stopWork(context);
        polls.refuseAll(context);
        for (RolloutEvent.GroupsSubmitted submitted : submissions) {
            refuse(submitted.request(), RolloutRefusal.NOT_HOLDER, context);
        }
        submissions.clear();
    }

    /** Applies the stored state and verifies by a commit that it is current. */
    void onRestored(RestoredLog stored, InvocationContext context) {
        if (state != null) {
            return;
        }
        RestoredState restored = new RestoredState(stored, context.now());
        state = restored;
        commits.onRestored(stored.headVersion());
        sendCursor(restored, context);
    }

    void onGroupsSubmitted(RolloutEvent.GroupsSubmitted event, InvocationContext context) {
        int largest =
                event.submission().groups().stream().mapToInt(GroupSpec::samples).max().orElse(0);
        if (largest > budget.capacity()) {
            refuse(event.request(), RolloutRefusal.GROUP_TOO_LARGE, context);
        } else if (submissions.size() >= limits.maxOpenPolls()) {
            refuse(event.request(), RolloutRefusal.TOO_MANY, context);
        } else {
            submissions.add(event);
        }
    }

    void onSamplesRequested(RolloutEvent.SamplesRequested event, InvocationContext context) {
        if (polls.size() >= limits.maxOpenPolls()) {
            refuse(event.request(), RolloutRefusal.TOO_MANY, context);
        } else {
            polls.add(event, context.now());
        }
    }

    void onCursorAcknowledged(RolloutEvent.CursorAcknowledged event, InvocationContext context) {
        if (state == null || !state.confirmed) {
            refuse(event.request(), RolloutRefusal.NOT_HOLDER, context);
        } else if (event.cursor() > state.log.end()) {
            refuse(event.request(), RolloutRefusal.CURSOR_BEYOND_END, context);
        } else {
            if (state.log.acknowledge(event.cursor())) {
                state.cursorCommitDueAt =
                        Math.min(
                                state.cursorCommitDueAt,
                                context.now() + limits.maxBatchDelay().toNanos());
            }
            context.emit(new RolloutAction.Accept(context.trainer(), event.request(), 0));
        }
    }

    void onVersionObserved(RolloutEvent.VersionObserved event) {
        if (state != null) {
            state.staleness.observe(event.version());
        }
    }

    void onSampleGenerated(RolloutEvent.SampleGenerated event, InvocationContext context) {
        if (state == null) {
            context.count(RolloutCounter.DROPPED, 1);
        } else {
            state.pipeline.onGenerated(event.attempt(), event.sample(), context);
        }
    }

    void onSampleJudged(RolloutEvent.SampleJudged event, InvocationContext context) {
        if (state == null) {
            context.count(RolloutCounter.DROPPED, 1);
        } else {
            state.pipeline.onJudged(event.attempt(), event.score(), context);
        }
    }

    void onSampleFailed(RolloutEvent.SampleFailed event, InvocationContext context) {
        if (state != null) {
            state.pipeline.onFailed(event.attempt(), context);
        }
    }

    void onBatchStored(String object) {
        if (state != null && state.batch != null && state.batch.object().equals(object)) {
            state.batch.markStored();
        }
    }

    void onStoreFailed(String object, InvocationContext context) {
        if (state != null
                && state.batch != null
                && !state.batch.isStored()
                && state.batch.object().equals(object)) {
            state.batch.scheduleStoreRetry(context.now(), delays);
        }
    }

    void onCommitSucceeded(String writer, long version, InvocationContext context) {
        if (state != null && commits.isAwaiting(writer)) {
            restoreCount = 0;
            state.onCommitted(commits.onCommitted(version), context);
        }
    }

    void onCommitOutcomeUnknown(String writer, InvocationContext context) {
        if (commits.isAwaiting(writer)) {
            commits.scheduleRetry(context.now());
        }
    }

    /**
     * Resolves a conflict. The writer in the head row shows whether an earlier attempt of the same
     * commit took effect. After a conflict on the guard row alone the commit is retried, because
     * either the lease was renewed or its loss is about to be reported.
     */
    void onCommitConflicted(RolloutEvent.CommitConflicted event, InvocationContext context) {
        if (state == null || !commits.isAwaiting(event.writer())) {
            return;
        }
        if (event.head().exists(row -> row.writer().equals(event.writer()))) {
            onCommitSucceeded(event.writer(), event.head().get().version(), context);
        } else if (event.head().isDefined()) {
            context.count(RolloutCounter.COMMIT_CONFLICTED, 1);
            restore(event.head().get().version(), context);
        } else if (event.submittedObject().isDefined()) {
            state.answerSubmittedStep(event.submittedObject().get(), context);
        } else {
            commits.scheduleRetry(context.now());
        }
    }

    void onTimer(InvocationContext context) {
        commits.retryIfDue(context);
        if (state != null) {
            state.pipeline.onTimer(state.steps.values(), context);
            if (state.batch != null) {
                state.batch.retryIfDue(context);
            }
        }
    }

    /** Starts all work that has become possible since the last call. */
    void runPendingWork(InvocationContext context) {
        if (state != null && state.confirmed) {
            state.pipeline.startPending(context);
            state.sealBatch(context);
            state.sendNextCommit(context);
            polls.serveAll(context, (poll, idle) -> deliver(state, poll, idle, context));
        } else {
            polls.endExpired(context);
        }
    }

    long nextTimer() {
        long next = Math.min(polls.nextTimer(), commits.retryAt());
        return state == null ? next : Math.min(next, state.nextTimer());
    }

    /** Returns the urgency of the oldest step, or {@link Integer#MIN_VALUE} if there is none. */
    int urgency(long now) {
        if (state == null || state.steps.isEmpty()) {
            return Integer.MIN_VALUE;
        }
        return state.steps.firstEntry().getValue().urgency(now);
    }

    private boolean deliver(
            @Nullable RestoredState current,
            PendingPolls.Poll poll,
            long idle,
            InvocationContext context) {
        if (current == null) {
            return false;
        }
        if (poll.cursor() > current.log.end()) {
            refuse(poll.request(), RolloutRefusal.CURSOR_BEYOND_END, context);
            return true;
        }
        long cursor = Math.max(poll.cursor(), current.log.acknowledged());
        for (long position :
                current.log.markStaleForReplacement(cursor, poll.limit(), current.isStale)) {
            SampleId id = current.log.entry(position).id();
            current.pipeline.replace(current.step(id).sample(id), position, context);
        }
        current.pipeline.startPending(context);
        List<BatchEntry> entries = current.log.deliverable(cursor, poll.limit(), current.isStale);
        if (entries.isEmpty()) {
            return false;
        }
        long staleness = 0;
        for (BatchEntry entry : entries) {
            long lag = current.staleness.newest().number() - entry.oldest().number();
            invariants.check(
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
                current.commitFactory.cursor(commits.nextWriter(), commits.headVersion());
        current.cursorCommitDueAt = Duty.NO_TIMER;
        commits.send(
                commit,
                new RolloutAction.CommitCursor(context.trainer(), context.term(), commit),
                context);
    }

    private void stopWork(InvocationContext context) {
        if (state != null) {
            state.pipeline.stop(context);
            nextAttempt = state.pipeline.nextAttempt();
            state = null;
        }
    }

    private void refuse(long request, RolloutRefusal reason, InvocationContext context) {
        context.emit(new RolloutAction.Refuse(context.trainer(), request, reason));
    }

    /** State that is available only after it has been restored. */
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

        void onCommitted(HeadCommit commit, InvocationContext context) {
            if (!confirmed) {
                confirmed = true;
                steps.values().forEach(pipeline::add);
            }
            if (!commit.submission().isEmpty()) {
                Submission submission = commit.submission().get();
                StepState step = new StepState(submission, context.now());
                steps.put(submission.step(), step);
                pipeline.add(step);
                accept(step, context);
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

        void answerSubmittedStep(String knownObject, InvocationContext context) {
            commits.clear();
            RolloutEvent.GroupsSubmitted event = submissions.remove();
            answerRepeat(event, knownObject, context);
        }

        void sealBatch(InvocationContext context) {
            while (batch == null && batchBuilder.dueNanos() <= context.now()) {
                List<SampleState> fresh = pipeline.withoutStale(batchBuilder.takeBatch(), context);
                if (!fresh.isEmpty()) {
                    storedObjectCount++;
                    String object =
                            "samples/"
                                    + context.trainer()
                                    + "/"
                                    + tenureId
                                    + "-"
                                    + storedObjectCount;
                    PendingBatch next = new PendingBatch(object, fresh);
                    batch = next;
                    next.store(context);
                }
            }
        }

        void sendNextCommit(InvocationContext context) {
            answerWithoutCommit(context);
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
                        new RolloutAction.CommitCursor(context.trainer(), context.term(), commit),
                        context);
            } else if (batch != null && batch.isStored()) {
                HeadCommit commit =
                        commitFactory.batch(commits.nextWriter(), commits.headVersion(), batch);
                batchCommitSent = true;
                cursorCommitDueAt = Duty.NO_TIMER;
                commits.send(
                        commit,
                        new RolloutAction.CommitBatch(context.trainer(), context.term(), commit),
                        context);
            } else if (cursorCommitDueAt <= context.now()) {
                sendCursor(this, context);
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

        /** Answers queued submissions that need no commit; stops while a commit is in progress. */
        private void answerWithoutCommit(InvocationContext context) {
            while (commits.isIdle() && !submissions.isEmpty()) {
                RolloutEvent.GroupsSubmitted event = submissions.element();
                StepState known = steps.get(event.submission().step());
                if (known != null) {
                    submissions.remove();
                    answerRepeat(event, known.submission().object(), context);
                } else if (openSamples() + event.submission().sampleCount()
                        > limits.maxOpenSamples()) {
                    submissions.remove();
                    refuse(event.request(), RolloutRefusal.TOO_MANY, context);
                } else {
                    return;
                }
            }
        }

        private int openSamples() {
            return steps.values().stream().mapToInt(StepState::total).sum();
        }

        private void accept(StepState step, InvocationContext context) {
            RolloutEvent.GroupsSubmitted event = submissions.remove();
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
