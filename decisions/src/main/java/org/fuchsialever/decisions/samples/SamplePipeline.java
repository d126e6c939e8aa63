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

/** Generates and judges the samples of one trainer. */
final class SamplePipeline {
    private static final double SMOOTHING = 0.05;
    private static final long TICK_INTERVAL_NANOS = 1_000_000_000L;

    private final StragglerPolicy mPolicy;
    private final LengthPredictor mPredictor;
    private final SampleBudget mBudget;
    private final RetryDelay mDelays;
    private final StalenessTracker mStaleness;
    private final BatchBuilder mBatches;
    private final InvariantMonitor mInvariants;
    private final List<GroupState> mWaitingGroups = new ArrayList<>();
    private final Deque<SampleState> mWaitingReplacements = new ArrayDeque<>();
    private final Map<Long, Attempt> mAttempts = new HashMap<>();
    private final PriorityQueue<Retry> mRetries =
            new PriorityQueue<>(Comparator.comparingLong(Retry::at));
    private long mNextAttempt;
    private int mReservedSamples;
    private double mAverageNanos;
    private long mNextTick = Duty.NO_TIMER;

    SamplePipeline(
            RolloutSetup setup,
            SampleBudget budget,
            StalenessTracker staleness,
            BatchBuilder batches,
            long firstAttempt) {
        mPolicy = setup.policy();
        mPredictor = setup.predictor();
        mDelays = new RetryDelay(setup.limits(), setup.random());
        mInvariants = setup.invariants();
        mBudget = budget;
        mStaleness = staleness;
        mBatches = batches;
        mNextAttempt = firstAttempt;
    }

    long nextAttempt() {
        return mNextAttempt;
    }

    /** Queues all samples of a step that are not committed. */
    void add(StepState step) {
        for (GroupState group : step.groups()) {
            if (!group.missing().isEmpty()) {
                mWaitingGroups.add(group);
            }
        }
    }

    void replace(SampleState sample, long position, InvocationContext context) {
        sample.requestReplacementAt(position);
        mWaitingReplacements.add(sample);
        context.count(RolloutCounter.REPLACED_STALE, 1);
    }

    /**
     * Starts as many samples as the budget allows; replacements first, because the trainer is
     * waiting for them.
     */
    void startPending(InvocationContext context) {
        while (!mWaitingReplacements.isEmpty() && reserve(1)) {
            generate(mWaitingReplacements.remove(), context);
        }
        while (!mWaitingGroups.isEmpty()) {
            GroupState group = nextGroup();
            List<SampleState> missing = group.missing();
            if (!reserve(missing.size())) {
                return;
            }
            mWaitingGroups.remove(group);
            missing.forEach(sample -> generate(sample, context));
        }
    }

    void onGenerated(long id, GeneratedSample result, InvocationContext context) {
        Attempt attempt = mAttempts.get(id);
        if (attempt == null || attempt.sample.stage() != SampleState.Stage.GENERATING) {
            context.count(RolloutCounter.DROPPED, 1);
            return;
        }
        SampleState sample = attempt.sample;
        if (!result.coversEveryToken()) {
            mInvariants.check(
                    Invariant.SAMPLE_NAMES_TRUE_VERSIONS,
                    result.ranges().isEmpty(),
                    () -> "token ranges of " + sample.id() + " have a gap: " + result.ranges());
            onFailed(id, context);
            return;
        }
        cancelOthers(sample, id, context);
        observe(attempt, result, context.now());
        if (isStale(sample, result)) {
            mAttempts.remove(id);
            regenerate(sample, context);
            return;
        }
        sample.onGenerated(result);
        judge(sample, id, context);
    }

    void onJudged(long id, double score, InvocationContext context) {
        Attempt attempt = mAttempts.remove(id);
        if (attempt == null || attempt.sample.stage() != SampleState.Stage.JUDGING) {
            context.count(RolloutCounter.DROPPED, 1);
            return;
        }
        SampleState sample = attempt.sample;
        sample.onJudged(score);
        sample.attempts().clear();
        onReady(sample, context);
    }

    void onFailed(long id, InvocationContext context) {
        Attempt attempt = mAttempts.get(id);
        if (attempt == null) {
            context.count(RolloutCounter.DROPPED, 1);
            return;
        }
        SampleState sample = attempt.sample;
        boolean judging = sample.stage() == SampleState.Stage.JUDGING;
        context.count(
                judging ? RolloutCounter.JUDGE_RETRIED : RolloutCounter.GENERATION_RETRIED, 1);
        if (!judging) {
            mAttempts.remove(id);
            sample.attempts().remove(id);
            if (!sample.attempts().isEmpty()) {
                return;
            }
        }
        mRetries.add(
                new Retry(context.now() + mDelays.delayNanos(sample.recordFailure()), sample, id));
    }

    /** Removes stale samples from a batch and regenerates them; returns the others. */
    List<SampleState> withoutStale(List<SampleState> batch, InvocationContext context) {
        List<SampleState> fresh = new ArrayList<>();
        for (SampleState sample : batch) {
            if (isStale(sample, sample.generated())) {
                regenerate(sample, context);
            } else {
                fresh.add(sample);
            }
        }
        return fresh;
    }

    void onCommitted(SampleState sample) {
        sample.onCommitted();
        mReservedSamples--;
        mBudget.release(1);
    }

    void onTimer(Iterable<StepState> steps, InvocationContext context) {
        Retry retry = mRetries.peek();
        while (retry != null && retry.at <= context.now()) {
            mRetries.remove();
            retry(retry, context);
            retry = mRetries.peek();
        }
        if (mNextTick <= context.now()) {
            mNextTick = mAttempts.isEmpty() ? Duty.NO_TIMER : context.now() + TICK_INTERVAL_NANOS;
            duplicateLateSamples(context);
            for (StepState step : steps) {
                context.count(
                        RolloutCounter.STEP_LATE, step.markLateIfOverdue(context.now()) ? 1 : 0);
            }
        }
    }

    long nextTimer() {
        Retry retry = mRetries.peek();
        return Math.min(mNextTick, retry == null ? Duty.NO_TIMER : retry.at);
    }

    /** Cancels all generation because the state is read again or the lease is lost. */
    void stop(InvocationContext context) {
        mAttempts.forEach(
                (id, attempt) -> {
                    if (attempt.sample.stage() == SampleState.Stage.GENERATING) {
                        cancel(id, context);
                    }
                });
        mAttempts.clear();
        mBudget.release(mReservedSamples);
        mReservedSamples = 0;
    }

    private GroupState nextGroup() {
        GroupState best = mWaitingGroups.get(0);
        int bestRank = rank(best);
        for (GroupState group : mWaitingGroups) {
            int rank = rank(group);
            if (rank > bestRank) {
                best = group;
                bestRank = rank;
            }
        }
        return best;
    }

    private int rank(GroupState group) {
        return mPolicy.rank(mPredictor.predict(group.spec().prompt()));
    }

    private boolean reserve(int samples) {
        boolean possible = mBudget.reserve(samples);
        mReservedSamples += possible ? samples : 0;
        return possible;
    }

    private void generate(SampleState sample, InvocationContext context) {
        GroupState group = sample.group();
        Submission submission = group.step().submission();
        String prompt = group.spec().prompt();
        int boost = mPolicy.urgencyBoost(mPredictor.predict(prompt), mPredictor.averageTokens());
        long id = mNextAttempt++;
        mAttempts.put(id, new Attempt(sample, context.now()));
        sample.attempts().add(id);
        sample.moveTo(SampleState.Stage.GENERATING);
        mNextTick = Math.min(mNextTick, context.now() + TICK_INTERVAL_NANOS);
        context.emit(
                new RolloutAction.Generate(
                        sample.id(),
                        context.term(),
                        id,
                        submission.route(),
                        submission.team(),
                        prompt,
                        group.spec().maxTokens(),
                        group.step().urgency(context.now()) + boost));
    }

    private void judge(SampleState sample, long id, InvocationContext context) {
        context.emit(
                new RolloutAction.Judge(
                        sample.id(),
                        context.term(),
                        id,
                        sample.group().spec().prompt(),
                        sample.generated().text()));
    }

    /** Passes a replacement on by itself, and any other sample together with its complete group. */
    private void onReady(SampleState sample, InvocationContext context) {
        if (sample.isReplacement()) {
            mBatches.add(sample, context.now());
            return;
        }
        if (!sample.group().isFinished()) {
            return;
        }
        List<SampleState> ready =
                sample.group().samples().stream()
                        .filter(other -> other.stage() == SampleState.Stage.READY)
                        .toList();
        if (withoutStale(ready, context).size() == ready.size()) {
            ready.forEach(other -> mBatches.add(other, context.now()));
        }
    }

    private void regenerate(SampleState sample, InvocationContext context) {
        context.count(RolloutCounter.REPLACED_STALE, 1);
        sample.discard();
        generate(sample, context);
    }

    private boolean isStale(SampleState sample, GeneratedSample result) {
        int bound = sample.group().step().submission().maxStaleness();
        return mStaleness.isStale(result.oldest(), bound);
    }

    private void observe(Attempt attempt, GeneratedSample result, long now) {
        mPredictor.observe(attempt.sample.group().spec().prompt(), result.tokenCount());
        double elapsed = now - attempt.startedNanos;
        mAverageNanos =
                mAverageNanos == 0
                        ? elapsed
                        : mAverageNanos + SMOOTHING * (elapsed - mAverageNanos);
        mStaleness.observe(result.newest());
    }

    private void cancelOthers(SampleState sample, long winner, InvocationContext context) {
        for (Long other : sample.attempts()) {
            if (other != winner) {
                mAttempts.remove(other);
                cancel(other, context);
            }
        }
        sample.attempts().removeIf(other -> other != winner);
    }

    private void cancel(long id, InvocationContext context) {
        context.emit(new RolloutAction.CancelGeneration(context.trainer(), context.term(), id));
    }

    private void retry(Retry retry, InvocationContext context) {
        SampleState sample = retry.sample;
        if (sample.stage() == SampleState.Stage.JUDGING && mAttempts.containsKey(retry.attempt)) {
            judge(sample, retry.attempt, context);
        } else if (sample.stage() == SampleState.Stage.GENERATING && sample.attempts().isEmpty()) {
            generate(sample, context);
        }
    }

    private void duplicateLateSamples(InvocationContext context) {
        for (Attempt attempt : List.copyOf(mAttempts.values())) {
            SampleState sample = attempt.sample;
            StepState step = sample.group().step();
            boolean late =
                    sample.stage() == SampleState.Stage.GENERATING
                            && sample.attempts().size() == 1
                            && mPolicy.shouldDuplicate(
                                    new StragglerPolicy.RunningSample(
                                            context.now() - attempt.startedNanos,
                                            (long) mAverageNanos,
                                            step.unfinishedShare(),
                                            step.total(),
                                            step.duplicateCount()));
            if (late) {
                step.countDuplicate();
                context.count(RolloutCounter.DUPLICATED, 1);
                generate(sample, context);
            }
        }
    }

    private record Attempt(SampleState sample, long startedNanos) {}

    private record Retry(long at, SampleState sample, long attempt) {}
}
