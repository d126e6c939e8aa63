package org.fuchsialever.decisions.samples;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/** Generation and judgement of the samples of one trainer. */
final class SampleFlow {
    private static final double WEIGHT_OF_NEWEST = 0.05;
    private static final long TICK_NANOS = 1_000_000_000L;

    private final StragglerPolicy policy;
    private final LengthPredictor predictor;
    private final SampleBudget budget;
    private final RetryDelay delays;
    private final StalenessCheck staleness;
    private final BatchBuilder batches;
    private final InvariantMonitor invariants;
    private final List<GroupState> waitingGroups = new ArrayList<>();
    private final Deque<SampleState> waitingReplacements = new ArrayDeque<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final PriorityQueue<Retry> retries =
            new PriorityQueue<>(Comparator.comparingLong(Retry::at));
    private long nextAttempt;
    private int reserved;
    private double typicalNanos;
    private long nextTick = Duty.NO_TIMER;

    SampleFlow(
            RolloutSetup setup,
            SampleBudget budget,
            StalenessCheck staleness,
            BatchBuilder batches,
            long firstAttempt) {
        this.policy = setup.policy();
        this.predictor = setup.predictor();
        this.delays = new RetryDelay(setup.limits(), setup.random());
        this.invariants = setup.invariants();
        this.budget = budget;
        this.staleness = staleness;
        this.batches = batches;
        this.nextAttempt = firstAttempt;
    }

    long nextAttempt() {
        return nextAttempt;
    }

    /** Takes up all samples of a step that are not fixed. */
    void add(StepState step) {
        for (GroupState group : step.groups()) {
            if (!group.missing().isEmpty()) {
                waitingGroups.add(group);
            }
        }
    }

    void replace(SampleState sample, long position, Turn turn) {
        sample.replaceAt(position);
        waitingReplacements.add(sample);
        turn.count(RolloutCounter.REPLACED_STALE, 1);
    }

    /** Starts as much as the budget allows; replacements first, because the trainer waits. */
    void start(Turn turn) {
        while (!waitingReplacements.isEmpty() && reserve(1)) {
            generate(waitingReplacements.remove(), turn);
        }
        while (!waitingGroups.isEmpty()) {
            GroupState group = nextGroup();
            List<SampleState> missing = group.missing();
            if (!reserve(missing.size())) {
                return;
            }
            waitingGroups.remove(group);
            missing.forEach(sample -> generate(sample, turn));
        }
    }

    void generated(long id, GeneratedSample result, Turn turn) {
        Attempt attempt = attempts.get(id);
        if (attempt == null || attempt.sample.stage() != SampleState.Stage.GENERATING) {
            turn.count(RolloutCounter.DROPPED, 1);
            return;
        }
        SampleState sample = attempt.sample;
        if (!result.coversEveryToken()) {
            invariants.check(
                    Invariant.SAMPLE_NAMES_TRUE_VERSIONS,
                    result.ranges().isEmpty(),
                    () -> "token ranges of " + sample.id() + " have a gap: " + result.ranges());
            failed(id, turn);
            return;
        }
        cancelOthers(sample, id, turn);
        observe(attempt, result, turn.now());
        if (isStale(sample, result)) {
            attempts.remove(id);
            regenerate(sample, turn);
            return;
        }
        sample.generated(result);
        judge(sample, id, turn);
    }

    void judged(long id, double score, Turn turn) {
        Attempt attempt = attempts.remove(id);
        if (attempt == null || attempt.sample.stage() != SampleState.Stage.JUDGING) {
            turn.count(RolloutCounter.DROPPED, 1);
            return;
        }
        SampleState sample = attempt.sample;
        sample.judged(score);
        sample.attempts().clear();
        finish(sample, turn);
    }

    void failed(long id, Turn turn) {
        Attempt attempt = attempts.get(id);
        if (attempt == null) {
            turn.count(RolloutCounter.DROPPED, 1);
            return;
        }
        SampleState sample = attempt.sample;
        boolean judging = sample.stage() == SampleState.Stage.JUDGING;
        turn.count(judging ? RolloutCounter.JUDGE_RETRIED : RolloutCounter.GENERATION_RETRIED, 1);
        if (!judging) {
            attempts.remove(id);
            sample.attempts().remove(id);
            if (!sample.attempts().isEmpty()) {
                return;
            }
        }
        retries.add(new Retry(turn.now() + delays.nanos(sample.failed()), sample, id));
    }

    /** Drops stale samples from a batch and has them generated again; returns the others. */
    List<SampleState> withoutStale(List<SampleState> batch, Turn turn) {
        List<SampleState> fresh = new ArrayList<>();
        for (SampleState sample : batch) {
            if (isStale(sample, sample.generated())) {
                regenerate(sample, turn);
            } else {
                fresh.add(sample);
            }
        }
        return fresh;
    }

    void fixed(SampleState sample) {
        sample.fixed();
        reserved--;
        budget.release(1);
    }

    void onTimer(Iterable<StepState> steps, Turn turn) {
        Retry retry = retries.peek();
        while (retry != null && retry.at <= turn.now()) {
            retries.remove();
            retry(retry, turn);
            retry = retries.peek();
        }
        if (nextTick <= turn.now()) {
            nextTick = attempts.isEmpty() ? Duty.NO_TIMER : turn.now() + TICK_NANOS;
            duplicateLate(turn);
            for (StepState step : steps) {
                turn.count(RolloutCounter.STEP_LATE, step.isLateNow(turn.now()) ? 1 : 0);
            }
        }
    }

    long nextTimer() {
        Retry retry = retries.peek();
        return Math.min(nextTick, retry == null ? Duty.NO_TIMER : retry.at);
    }

    /** Stops everything, because the state is read again or the lease is lost. */
    void stop(Turn turn) {
        attempts.forEach(
                (id, attempt) -> {
                    if (attempt.sample.stage() == SampleState.Stage.GENERATING) {
                        cancel(id, turn);
                    }
                });
        attempts.clear();
        budget.release(reserved);
        reserved = 0;
    }

    private GroupState nextGroup() {
        GroupState best = waitingGroups.get(0);
        int bestRank = rank(best);
        for (GroupState group : waitingGroups) {
            int rank = rank(group);
            if (rank > bestRank) {
                best = group;
                bestRank = rank;
            }
        }
        return best;
    }

    private int rank(GroupState group) {
        return policy.rank(predictor.predict(group.spec().prompt()));
    }

    private boolean reserve(int samples) {
        boolean possible = budget.reserve(samples);
        reserved += possible ? samples : 0;
        return possible;
    }

    private void generate(SampleState sample, Turn turn) {
        GroupState group = sample.group();
        Submission submission = group.step().submission();
        String prompt = group.spec().prompt();
        int boost = policy.urgencyBoost(predictor.predict(prompt), predictor.averageTokens());
        long id = nextAttempt++;
        attempts.put(id, new Attempt(sample, turn.now()));
        sample.attempts().add(id);
        sample.moveTo(SampleState.Stage.GENERATING);
        nextTick = Math.min(nextTick, turn.now() + TICK_NANOS);
        turn.emit(
                new RolloutAction.Generate(
                        sample.id(),
                        turn.term(),
                        id,
                        submission.route(),
                        submission.team(),
                        prompt,
                        group.spec().maxTokens(),
                        group.step().urgency(turn.now()) + boost));
    }

    private void judge(SampleState sample, long id, Turn turn) {
        turn.emit(
                new RolloutAction.Judge(
                        sample.id(),
                        turn.term(),
                        id,
                        sample.group().spec().prompt(),
                        sample.generated().text()));
    }

    /** Passes on a replacement alone, and any other sample together with its whole group. */
    private void finish(SampleState sample, Turn turn) {
        if (sample.isReplacement()) {
            batches.add(sample, turn.now());
            return;
        }
        if (!sample.group().isFinished()) {
            return;
        }
        List<SampleState> ready =
                sample.group().samples().stream()
                        .filter(other -> other.stage() == SampleState.Stage.READY)
                        .toList();
        if (withoutStale(ready, turn).size() == ready.size()) {
            ready.forEach(other -> batches.add(other, turn.now()));
        }
    }

    private void regenerate(SampleState sample, Turn turn) {
        turn.count(RolloutCounter.REPLACED_STALE, 1);
        sample.discard();
        generate(sample, turn);
    }

    private boolean isStale(SampleState sample, GeneratedSample result) {
        int bound = sample.group().step().submission().maxStaleness();
        return staleness.isStale(result.oldest(), bound);
    }

    private void observe(Attempt attempt, GeneratedSample result, long now) {
        predictor.observe(attempt.sample.group().spec().prompt(), result.tokenCount());
        double elapsed = now - attempt.startedNanos;
        typicalNanos =
                typicalNanos == 0
                        ? elapsed
                        : typicalNanos + WEIGHT_OF_NEWEST * (elapsed - typicalNanos);
        staleness.observe(result.newest());
    }

    private void cancelOthers(SampleState sample, long winner, Turn turn) {
        for (Long other : sample.attempts()) {
            if (other != winner) {
                attempts.remove(other);
                cancel(other, turn);
            }
        }
        sample.attempts().removeIf(other -> other != winner);
    }

    private void cancel(long id, Turn turn) {
        turn.emit(new RolloutAction.CancelGeneration(turn.trainer(), turn.term(), id));
    }

    private void retry(Retry retry, Turn turn) {
        SampleState sample = retry.sample;
        if (sample.stage() == SampleState.Stage.JUDGING && attempts.containsKey(retry.attempt)) {
            judge(sample, retry.attempt, turn);
        } else if (sample.stage() == SampleState.Stage.GENERATING && sample.attempts().isEmpty()) {
            generate(sample, turn);
        }
    }

    private void duplicateLate(Turn turn) {
        for (Attempt attempt : List.copyOf(attempts.values())) {
            SampleState sample = attempt.sample;
            StepState step = sample.group().step();
            boolean late =
                    sample.stage() == SampleState.Stage.GENERATING
                            && sample.attempts().size() == 1
                            && policy.shouldDuplicate(
                                    new StragglerPolicy.RunningSample(
                                            turn.now() - attempt.startedNanos,
                                            (long) typicalNanos,
                                            step.unfinishedShare(),
                                            step.total(),
                                            step.duplicates()));
            if (late) {
                step.duplicated();
                turn.count(RolloutCounter.DUPLICATED, 1);
                generate(sample, turn);
            }
        }
    }

    private record Attempt(SampleState sample, long startedNanos) {}

    private record Retry(long at, SampleState sample, long attempt) {}
}
