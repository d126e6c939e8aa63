package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/** Runs the rollouts of all trainers for which this instance holds the lease. */
public final class RolloutDuty implements Duty<RolloutEvent, RolloutAction> {
    /**
     * Bits of an attempt number within one lease tenure. The bits above hold the number of the
     * tenure, so that attempts of different tenures are not confused.
     */
    private static final int ATTEMPT_BITS = 32;

    private final RolloutSetup mSetup;
    private final SampleBudget mBudget;
    private final Map<TrainerName, HeldTrainer> mTrainers = new TreeMap<>();
    private final Map<Class<? extends RolloutEvent>, Handler> mHandlers = new HashMap<>();
    private int mTenureCount;

    /** Creates a duty without trainers. */
    public RolloutDuty(RolloutSetup setup) {
        mSetup = setup;
        mBudget = new SampleBudget(setup.limits().maxHeldSamples());
        registerResults();
        registerRequests();
    }

    @Override
    public String dutyName() {
        return "rollouts";
    }

    @Override
    public void onEvent(RolloutEvent event, long nowNanos, ActionSink<RolloutAction> actions) {
        if (event instanceof RolloutEvent.LeaseAcquired gained) {
            onLeaseAcquired(gained, nowNanos, actions);
        } else if (event instanceof RolloutEvent.LeaseLost lost) {
            onLeaseLost(lost.trainer(), nowNanos, actions);
        } else {
            HeldTrainer owned = mTrainers.get(event.trainer());
            Handler handler = mHandlers.get(event.getClass());
            if (owned == null) {
                refuse(event, actions);
            } else if (handler != null) {
                InvocationContext context =
                        new InvocationContext(event.trainer(), owned.term, nowNanos, actions);
                handler.handle(owned.rollouts, event, context);
            }
        }
        runPendingWork(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<RolloutAction> actions) {
        mTrainers.forEach(
                (trainer, owned) ->
                        owned.rollouts.onTimer(
                                new InvocationContext(trainer, owned.term, nowNanos, actions)));
        runPendingWork(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        long next = NO_TIMER;
        for (HeldTrainer owned : mTrainers.values()) {
            next = Math.min(next, owned.rollouts.nextTimer());
        }
        return next;
    }

    /** Returns the number of samples that are being generated or wait for storage. */
    public int heldSampleCount() {
        return mBudget.used();
    }

    private void onLeaseAcquired(
            RolloutEvent.LeaseAcquired event, long now, ActionSink<RolloutAction> actions) {
        onLeaseLost(event.trainer(), now, actions);
        // A lease that expires and is renewed before another instance takes it keeps its term.
        mTenureCount++;
        String tenureId = mSetup.writer() + "-" + event.term() + "-" + mTenureCount;
        long firstAttempt = (long) mTenureCount << ATTEMPT_BITS;
        HeldTrainer owned =
                new HeldTrainer(
                        event.term(), new TrainerRollouts(mSetup, mBudget, tenureId, firstAttempt));
        mTrainers.put(event.trainer(), owned);
        owned.rollouts.restore(
                0, new InvocationContext(event.trainer(), event.term(), now, actions));
    }

    private void onLeaseLost(TrainerName trainer, long now, ActionSink<RolloutAction> actions) {
        HeldTrainer owned = mTrainers.remove(trainer);
        if (owned != null) {
            owned.rollouts.stop(new InvocationContext(trainer, owned.term, now, actions));
        }
    }

    /**
     * Runs the trainer that is furthest behind its step first, so that it gets free capacity first.
     */
    private void runPendingWork(long now, ActionSink<RolloutAction> actions) {
        List<Map.Entry<TrainerName, HeldTrainer>> order = new ArrayList<>(mTrainers.entrySet());
        if (order.size() > 1) {
            order.sort(
                    Comparator.comparingInt(
                            entry ->
                                    -Math.max(-1_000_000, entry.getValue().rollouts.urgency(now))));
        }
        for (Map.Entry<TrainerName, HeldTrainer> entry : order) {
            HeldTrainer owned = entry.getValue();
            owned.rollouts.runPendingWork(
                    new InvocationContext(entry.getKey(), owned.term, now, actions));
        }
    }

    private void refuse(RolloutEvent event, ActionSink<RolloutAction> actions) {
        if (event instanceof RolloutEvent.GroupsSubmitted submitted) {
            refuse(event.trainer(), submitted.request(), actions);
        } else if (event instanceof RolloutEvent.SamplesRequested requested) {
            refuse(event.trainer(), requested.request(), actions);
        } else if (event instanceof RolloutEvent.CursorAcknowledged acknowledged) {
            refuse(event.trainer(), acknowledged.request(), actions);
        }
    }

    private static void refuse(
            TrainerName trainer, long request, ActionSink<RolloutAction> actions) {
        actions.emit(new RolloutAction.Refuse(trainer, request, RolloutRefusal.NOT_HOLDER));
    }

    private void registerRequests() {
        on(RolloutEvent.GroupsSubmitted.class, TrainerRollouts::onGroupsSubmitted);
        on(RolloutEvent.SamplesRequested.class, TrainerRollouts::onSamplesRequested);
        on(RolloutEvent.CursorAcknowledged.class, TrainerRollouts::onCursorAcknowledged);
        on(
                RolloutEvent.VersionObserved.class,
                (rollouts, event, context) -> rollouts.onVersionObserved(event));
    }

    /**
     * Registers handlers that drop results of an earlier term, because its attempts and commits are
     * void.
     */
    private void registerResults() {
        onResult(
                RolloutEvent.TrainerRestored.class,
                RolloutEvent.TrainerRestored::term,
                (rollouts, event, context) -> rollouts.onRestored(event.log(), context));
        onResult(
                RolloutEvent.SampleGenerated.class,
                RolloutEvent.SampleGenerated::term,
                TrainerRollouts::onSampleGenerated);
        onResult(
                RolloutEvent.SampleJudged.class,
                RolloutEvent.SampleJudged::term,
                TrainerRollouts::onSampleJudged);
        onResult(
                RolloutEvent.SampleFailed.class,
                RolloutEvent.SampleFailed::term,
                TrainerRollouts::onSampleFailed);
        onResult(
                RolloutEvent.BatchStored.class,
                RolloutEvent.BatchStored::term,
                (rollouts, event, context) -> rollouts.onBatchStored(event.object()));
        onResult(
                RolloutEvent.StoreFailed.class,
                RolloutEvent.StoreFailed::term,
                (rollouts, event, context) -> rollouts.onStoreFailed(event.object(), context));
        onResult(
                RolloutEvent.CommitSucceeded.class,
                RolloutEvent.CommitSucceeded::term,
                (rollouts, event, context) ->
                        rollouts.onCommitSucceeded(event.writer(), event.version(), context));
        onResult(
                RolloutEvent.CommitOutcomeUnknown.class,
                RolloutEvent.CommitOutcomeUnknown::term,
                (rollouts, event, context) ->
                        rollouts.onCommitOutcomeUnknown(event.writer(), context));
        onResult(
                RolloutEvent.CommitConflicted.class,
                RolloutEvent.CommitConflicted::term,
                TrainerRollouts::onCommitConflicted);
    }

    private <E extends RolloutEvent> void on(Class<E> type, TypedHandler<E> handler) {
        mHandlers.put(
                type,
                (rollouts, event, context) -> handler.handle(rollouts, type.cast(event), context));
    }

    private <E extends RolloutEvent> void onResult(
            Class<E> type, java.util.function.ToLongFunction<E> term, TypedHandler<E> handler) {
        on(
                type,
                (rollouts, event, context) -> {
                    if (term.applyAsLong(event) == context.term()) {
                        handler.handle(rollouts, event, context);
                    } else {
                        context.count(RolloutCounter.DROPPED, 1);
                    }
                });
    }

    private record HeldTrainer(long term, TrainerRollouts rollouts) {}

    @FunctionalInterface
    private interface Handler {
        void handle(TrainerRollouts rollouts, RolloutEvent event, InvocationContext context);
    }

    @FunctionalInterface
    private interface TypedHandler<E extends RolloutEvent> {
        void handle(TrainerRollouts rollouts, E event, InvocationContext context);
    }
}
