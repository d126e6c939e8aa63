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
    private final String holding;
    private final RetryDelay delays;
    private final CommitSequence commits;
    private final PollTable polls = new PollTable();
    private final Deque<RolloutEvent.GroupsSubmitted> submissions = new ArrayDeque<>();
    private @Nullable OpenLog open;
    private long storedObjects;
    private long nextAttempt;
    private int restores;

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
        this.holding = holding;
        this.nextAttempt = firstAttempt;
        this.commits = new CommitSequence(holding, delays);
    }

    /** Reads the stored state; nothing else is done for the trainer before that. */
    void restore(long atLeastVersion, Turn turn) {
        stopWork(turn);
        commits.done();
        long delay = restores == 0 ? 0 : delays.nanos(restores);
        restores++;
        turn.emit(new RolloutAction.Restore(turn.trainer(), turn.term(), atLeastVersion, delay));
    }

    /** Ends everything because the lease is lost. */
    void stop(Turn turn) {
        stopWork(turn);
        polls.refuseAll(turn);
        for (RolloutEvent.GroupsSubmitted submitted : submissions) {
            refuse(submitted.request(), RolloutRefusal.NOT_HOLDER, turn);
        }
        submissions.clear();
    }

    /** Takes the stored state and confirms with a commit that it is the present one. */
    void restored(RestoredLog stored, Turn turn) {
        if (open != null) {
            return;
        }
        OpenLog restored = new OpenLog(stored, turn.now());
        open = restored;
        commits.restored(stored.headVersion());
        sendCursor(restored, turn);
    }

    void submitted(RolloutEvent.GroupsSubmitted event, Turn turn) {
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

    void requested(RolloutEvent.SamplesRequested event, Turn turn) {
        if (polls.size() >= limits.maxOpenPolls()) {
            refuse(event.request(), RolloutRefusal.TOO_MANY, turn);
        } else {
            polls.add(event, turn.now());
        }
    }

    void acknowledged(RolloutEvent.CursorAcknowledged event, Turn turn) {
        if (open == null || !open.confirmed) {
            refuse(event.request(), RolloutRefusal.NOT_HOLDER, turn);
        } else if (event.cursor() > open.log.end()) {
            refuse(event.request(), RolloutRefusal.CURSOR_BEYOND_END, turn);
        } else {
            if (open.log.acknowledge(event.cursor())) {
                open.cursorDue =
                        Math.min(open.cursorDue, turn.now() + limits.maxBatchDelay().toNanos());
            }
            turn.emit(new RolloutAction.Accept(turn.trainer(), event.request(), 0));
        }
    }

    void observed(RolloutEvent.VersionObserved event) {
        if (open != null) {
            open.staleness.observe(event.version());
        }
    }

    void generated(RolloutEvent.SampleGenerated event, Turn turn) {
        if (open == null) {
            turn.count(RolloutCounter.DROPPED, 1);
        } else {
            open.flow.generated(event.attempt(), event.sample(), turn);
        }
    }

    void judged(RolloutEvent.SampleJudged event, Turn turn) {
        if (open == null) {
            turn.count(RolloutCounter.DROPPED, 1);
        } else {
            open.flow.judged(event.attempt(), event.score(), turn);
        }
    }

    void failed(RolloutEvent.SampleFailed event, Turn turn) {
        if (open != null) {
            open.flow.failed(event.attempt(), turn);
        }
    }

    void stored(String object) {
        if (open != null && open.batch != null && open.batch.object().equals(object)) {
            open.batch.stored();
        }
    }

    void storeFailed(String object, Turn turn) {
        if (open != null
                && open.batch != null
                && !open.batch.isStored()
                && open.batch.object().equals(object)) {
            open.batch.storeLater(turn.now(), delays);
        }
    }

    void fixed(String writer, long version, Turn turn) {
        if (open != null && commits.awaits(writer)) {
            restores = 0;
            open.committed(commits.committed(version), turn);
        }
    }

    void commitUnknown(String writer, Turn turn) {
        if (commits.awaits(writer)) {
            commits.retryLater(turn.now());
        }
    }

    /**
     * Resolves a conflict: the writer in the head row tells whether an earlier attempt of the same
     * commit took effect. A conflict of the guard row alone is tried again, because either the
     * lease was renewed or its loss is about to be reported.
     */
    void conflicted(RolloutEvent.CommitConflicted event, Turn turn) {
        if (open == null || !commits.awaits(event.writer())) {
            return;
        }
        if (event.head().exists(row -> row.writer().equals(event.writer()))) {
            fixed(event.writer(), event.head().get().version(), turn);
        } else if (event.head().isDefined()) {
            turn.count(RolloutCounter.COMMIT_CONFLICTED, 1);
            restore(event.head().get().version(), turn);
        } else if (event.submittedObject().isDefined()) {
            open.answerKnownStep(event.submittedObject().get(), turn);
        } else {
            commits.retryLater(turn.now());
        }
    }

    void onTimer(Turn turn) {
        commits.retryIfDue(turn);
        if (open != null) {
            open.flow.onTimer(open.steps.values(), turn);
            if (open.batch != null) {
                open.batch.retryIfDue(turn);
            }
        }
    }

    /** Does whatever has become possible. */
    void proceed(Turn turn) {
        if (open != null && open.confirmed) {
            open.flow.start(turn);
            open.sealBatch(turn);
            open.nextCommit(turn);
            polls.serve(turn, (poll, idle) -> deliver(open, poll, idle, turn));
        } else {
            polls.endOverdue(turn);
        }
    }

    long nextTimer() {
        long next = Math.min(polls.nextTimer(), commits.retryAt());
        return open == null ? next : Math.min(next, open.nextTimer());
    }

    /** Returns the urgency of the oldest step, or the least one if there is none. */
    int urgency(long now) {
        if (open == null || open.steps.isEmpty()) {
            return Integer.MIN_VALUE;
        }
        return open.steps.firstEntry().getValue().urgency(now);
    }

    private boolean deliver(@Nullable OpenLog from, PollTable.Poll poll, long idle, Turn turn) {
        if (from == null) {
            return false;
        }
        if (poll.cursor() > from.log.end()) {
            refuse(poll.request(), RolloutRefusal.CURSOR_BEYOND_END, turn);
            return true;
        }
        long cursor = Math.max(poll.cursor(), from.log.acknowledged());
        for (long position : from.log.replaceStale(cursor, poll.limit(), from.stale)) {
            SampleId id = from.log.entry(position).id();
            from.flow.replace(from.step(id).sample(id), position, turn);
        }
        from.flow.start(turn);
        List<BatchEntry> entries = from.log.deliverable(cursor, poll.limit(), from.stale);
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

    private void sendCursor(OpenLog from, Turn turn) {
        HeadCommit commit = from.composer.cursor(commits.nextWriter(), commits.headVersion());
        from.cursorDue = Duty.NO_TIMER;
        commits.send(
                commit, new RolloutAction.CommitCursor(turn.trainer(), turn.term(), commit), turn);
    }

    private void stopWork(Turn turn) {
        if (open != null) {
            open.flow.stop(turn);
            nextAttempt = open.flow.nextAttempt();
            open = null;
        }
    }

    private void refuse(long request, RolloutRefusal reason, Turn turn) {
        turn.emit(new RolloutAction.Refuse(turn.trainer(), request, reason));
    }

    /** State that is known only after it was read. */
    private final class OpenLog {
        private final DeliveryLog log;
        private final TreeMap<Long, StepState> steps = new TreeMap<>();
        private final StalenessCheck staleness;
        private final BatchBuilder builder = new BatchBuilder(limits);
        private final SampleFlow flow;
        private final HeadCommits composer;
        private final Predicate<BatchEntry> stale;
        private @Nullable BatchInProgress batch;
        private boolean confirmed;
        private long cursorDue = Duty.NO_TIMER;

        OpenLog(RestoredLog stored, long now) {
            log = new DeliveryLog(stored.head(), stored.batches(), invariants);
            staleness = new StalenessCheck(stored.head().newest());
            flow = new SampleFlow(setup, budget, staleness, builder, nextAttempt);
            composer = new HeadCommits(log, steps, staleness);
            stale =
                    entry ->
                            staleness.isStale(
                                    entry.oldest(), step(entry.id()).submission().maxStaleness());
            for (RestoredLog.RestoredSubmission known : stored.submissions()) {
                StepState step = new StepState(known.submission(), now - known.ageNanos());
                steps.put(known.submission().step(), step);
            }
            for (BatchRecord record : log.batches()) {
                markFixed(record);
            }
        }

        StepState step(SampleId id) {
            StepState step = steps.get(id.step());
            if (step == null) {
                throw new IllegalStateException("the step of " + id + " is closed");
            }
            return step;
        }

        void committed(HeadCommit commit, Turn turn) {
            if (!confirmed) {
                confirmed = true;
                steps.values().forEach(flow::add);
            }
            if (!commit.submission().isEmpty()) {
                Submission submission = commit.submission().get();
                StepState step = new StepState(submission, turn.now());
                steps.put(submission.step(), step);
                flow.add(step);
                accept(step, turn);
            }
            BatchInProgress fixedBatch = batch;
            boolean withBatch = fixedBatch != null && fixedBatch.isStored() && sentBatch;
            if (withBatch && fixedBatch != null) {
                takeBatch(fixedBatch, commit);
                batch = null;
                sentBatch = false;
            }
            log.fixed(commit);
            steps.keySet().retainAll(commit.head().openSteps());
        }

        private boolean sentBatch;

        private void takeBatch(BatchInProgress fixedBatch, HeadCommit commit) {
            long position = log.end();
            for (SampleState sample : fixedBatch.samples()) {
                invariants.check(
                        Invariant.SAMPLE_EXACTLY_ONCE,
                        sample.stage() == SampleState.Stage.BATCHED,
                        () -> sample.id() + " was fixed twice by " + commit.writer());
                if (sample.isReplacement()) {
                    log.replaced(sample.position());
                } else {
                    sample.group().step().fixedAt(position);
                    position++;
                }
                flow.fixed(sample);
            }
            invariants.check(
                    Invariant.SAMPLE_EXACTLY_ONCE,
                    position == commit.head().nextPosition(),
                    () -> "positions of " + commit.writer() + " do not follow each other");
        }

        void answerKnownStep(String knownObject, Turn turn) {
            commits.done();
            RolloutEvent.GroupsSubmitted event = submissions.remove();
            answerRepeat(event, knownObject, turn);
        }

        void sealBatch(Turn turn) {
            while (batch == null && builder.dueNanos() <= turn.now()) {
                List<SampleState> fresh = flow.withoutStale(builder.take(), turn);
                if (!fresh.isEmpty()) {
                    storedObjects++;
                    String object =
                            "samples/" + turn.trainer() + "/" + holding + "-" + storedObjects;
                    BatchInProgress next = new BatchInProgress(object, fresh);
                    batch = next;
                    next.store(turn);
                }
            }
        }

        void nextCommit(Turn turn) {
            answerOpenSteps(turn);
            if (!commits.isIdle()) {
                return;
            }
            RolloutEvent.GroupsSubmitted submitted = submissions.peek();
            if (submitted != null) {
                HeadCommit commit =
                        composer.submission(
                                commits.nextWriter(),
                                commits.headVersion(),
                                submitted.submission());
                commits.send(
                        commit,
                        new RolloutAction.CommitCursor(turn.trainer(), turn.term(), commit),
                        turn);
            } else if (batch != null && batch.isStored()) {
                HeadCommit commit =
                        composer.batch(commits.nextWriter(), commits.headVersion(), batch);
                sentBatch = true;
                cursorDue = Duty.NO_TIMER;
                commits.send(
                        commit,
                        new RolloutAction.CommitBatch(turn.trainer(), turn.term(), commit),
                        turn);
            } else if (cursorDue <= turn.now()) {
                sendCursor(this, turn);
            }
        }

        long nextTimer() {
            long next = flow.nextTimer();
            if (batch != null) {
                next = Math.min(next, batch.retryAt());
            } else if (confirmed) {
                next = Math.min(next, builder.dueNanos());
            }
            return confirmed && commits.isIdle() ? Math.min(next, cursorDue) : next;
        }

        /** Answers submissions that need no commit, as long as none is in progress. */
        private void answerOpenSteps(Turn turn) {
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

        private void accept(StepState step, Turn turn) {
            RolloutEvent.GroupsSubmitted event = submissions.remove();
            turn.emit(new RolloutAction.Accept(turn.trainer(), event.request(), step.total()));
        }

        private void answerRepeat(
                RolloutEvent.GroupsSubmitted event, String knownObject, Turn turn) {
            if (knownObject.equals(event.submission().object())) {
                int total = event.submission().sampleCount();
                turn.emit(new RolloutAction.Accept(turn.trainer(), event.request(), total));
            } else {
                refuse(event.request(), RolloutRefusal.STEP_DIFFERS, turn);
            }
        }

        private void markFixed(BatchRecord record) {
            long position = record.firstPosition();
            for (BatchEntry entry : record.entries()) {
                StepState step = steps.get(entry.id().step());
                if (step != null) {
                    SampleState sample = step.sample(entry.id());
                    invariants.check(
                            Invariant.SAMPLE_EXACTLY_ONCE,
                            sample.stage() == SampleState.Stage.PENDING,
                            () -> entry.id() + " has two positions");
                    sample.moveTo(SampleState.Stage.FIXED);
                    step.fixedAt(position);
                }
                position++;
            }
        }
    }
}
