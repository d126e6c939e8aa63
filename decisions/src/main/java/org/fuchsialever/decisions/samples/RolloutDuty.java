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

/** Rollouts of all trainers for which this instance holds the lease. */
public final class RolloutDuty implements Duty<RolloutEvent, RolloutAction> {
    /** The attempts of one holding; those of another one must not be taken for them. */
    private static final int ATTEMPT_BITS = 32;

    private final RolloutSetup setup;
    private final SampleBudget budget;
    private final Map<TrainerName, Owned> trainers = new TreeMap<>();
    private final Map<Class<? extends RolloutEvent>, Handler> handlers = new HashMap<>();
    private int holdings;

    /** Creates a duty without trainers. */
    public RolloutDuty(RolloutSetup setup) {
        this.setup = setup;
        this.budget = new SampleBudget(setup.limits().maxHeldSamples());
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
            gain(gained, nowNanos, actions);
        } else if (event instanceof RolloutEvent.LeaseLost lost) {
            lose(lost.trainer(), nowNanos, actions);
        } else {
            Owned owned = trainers.get(event.trainer());
            Handler handler = handlers.get(event.getClass());
            if (owned == null) {
                refuse(event, actions);
            } else if (handler != null) {
                Turn turn = new Turn(event.trainer(), owned.term, nowNanos, actions);
                handler.handle(owned.rollouts, event, turn);
            }
        }
        proceed(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<RolloutAction> actions) {
        trainers.forEach(
                (trainer, owned) ->
                        owned.rollouts.onTimer(new Turn(trainer, owned.term, nowNanos, actions)));
        proceed(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        long next = NO_TIMER;
        for (Owned owned : trainers.values()) {
            next = Math.min(next, owned.rollouts.nextTimer());
        }
        return next;
    }

    /** Returns the number of samples that are generated or wait for storage. */
    public int heldSampleCount() {
        return budget.used();
    }

    private void gain(
            RolloutEvent.LeaseAcquired event, long now, ActionSink<RolloutAction> actions) {
        lose(event.trainer(), now, actions);
        // A lease that expired and was renewed before anybody else took it has the same term again.
        holdings++;
        String holding = setup.writer() + "-" + event.term() + "-" + holdings;
        long firstAttempt = (long) holdings << ATTEMPT_BITS;
        Owned owned =
                new Owned(event.term(), new TrainerRollouts(setup, budget, holding, firstAttempt));
        trainers.put(event.trainer(), owned);
        owned.rollouts.restore(0, new Turn(event.trainer(), event.term(), now, actions));
    }

    private void lose(TrainerName trainer, long now, ActionSink<RolloutAction> actions) {
        Owned owned = trainers.remove(trainer);
        if (owned != null) {
            owned.rollouts.stop(new Turn(trainer, owned.term, now, actions));
        }
    }

    /** Lets the trainer that is furthest behind its step take free places first. */
    private void proceed(long now, ActionSink<RolloutAction> actions) {
        List<Map.Entry<TrainerName, Owned>> order = new ArrayList<>(trainers.entrySet());
        if (order.size() > 1) {
            order.sort(
                    Comparator.comparingInt(
                            entry ->
                                    -Math.max(-1_000_000, entry.getValue().rollouts.urgency(now))));
        }
        for (Map.Entry<TrainerName, Owned> entry : order) {
            Owned owned = entry.getValue();
            owned.rollouts.proceed(new Turn(entry.getKey(), owned.term, now, actions));
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
        on(RolloutEvent.GroupsSubmitted.class, TrainerRollouts::submitted);
        on(RolloutEvent.SamplesRequested.class, TrainerRollouts::requested);
        on(RolloutEvent.CursorAcknowledged.class, TrainerRollouts::acknowledged);
        on(RolloutEvent.VersionObserved.class, (owner, event, turn) -> owner.observed(event));
    }

    /** Results of an earlier term are dropped, because their attempts and commits are void. */
    private void registerResults() {
        onResult(
                RolloutEvent.TrainerRestored.class,
                RolloutEvent.TrainerRestored::term,
                (owner, event, turn) -> owner.restored(event.log(), turn));
        onResult(
                RolloutEvent.SampleGenerated.class,
                RolloutEvent.SampleGenerated::term,
                TrainerRollouts::generated);
        onResult(
                RolloutEvent.SampleJudged.class,
                RolloutEvent.SampleJudged::term,
                TrainerRollouts::judged);
        onResult(
                RolloutEvent.SampleFailed.class,
                RolloutEvent.SampleFailed::term,
                TrainerRollouts::failed);
        onResult(
                RolloutEvent.BatchStored.class,
                RolloutEvent.BatchStored::term,
                (owner, event, turn) -> owner.stored(event.object()));
        onResult(
                RolloutEvent.StoreFailed.class,
                RolloutEvent.StoreFailed::term,
                (owner, event, turn) -> owner.storeFailed(event.object(), turn));
        onResult(
                RolloutEvent.CommitSucceeded.class,
                RolloutEvent.CommitSucceeded::term,
                (owner, event, turn) -> owner.fixed(event.writer(), event.version(), turn));
        onResult(
                RolloutEvent.CommitOutcomeUnknown.class,
                RolloutEvent.CommitOutcomeUnknown::term,
                (owner, event, turn) -> owner.commitUnknown(event.writer(), turn));
        onResult(
                RolloutEvent.CommitConflicted.class,
                RolloutEvent.CommitConflicted::term,
                TrainerRollouts::conflicted);
    }

    private <E extends RolloutEvent> void on(Class<E> type, TypedHandler<E> handler) {
        handlers.put(type, (owner, event, turn) -> handler.handle(owner, type.cast(event), turn));
    }

    private <E extends RolloutEvent> void onResult(
            Class<E> type, java.util.function.ToLongFunction<E> term, TypedHandler<E> handler) {
        on(
                type,
                (owner, event, turn) -> {
                    if (term.applyAsLong(event) == turn.term()) {
                        handler.handle(owner, event, turn);
                    } else {
                        turn.count(RolloutCounter.DROPPED, 1);
                    }
                });
    }

    private record Owned(long term, TrainerRollouts rollouts) {}

    @FunctionalInterface
    private interface Handler {
        void handle(TrainerRollouts owner, RolloutEvent event, Turn turn);
    }

    @FunctionalInterface
    private interface TypedHandler<E extends RolloutEvent> {
        void handle(TrainerRollouts owner, E event, Turn turn);
    }
}
