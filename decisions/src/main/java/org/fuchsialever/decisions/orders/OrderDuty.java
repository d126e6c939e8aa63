package org.fuchsialever.decisions.orders;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentMachine;
import org.fuchsialever.decisions.intent.IntentTiming;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/** Starts and stops the upstreams of one pool while it holds the role {@code orders/<pool>}. */
public final class OrderDuty implements Duty<OrderEvent, OrderAction> {
    private static final long PLAN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** No plan is made from a list of upstreams older than this. */
    private static final long MAX_LIST_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * The list of the platform may lag; a started upstream that is not listed within this time has
     * failed.
     */
    private static final long LISTING_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(2);

    /**
     * Time in which an upstream finishes its running requests before the command to stop it is
     * sent.
     */
    private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final PoolName mPool;
    private final OrderPolicy mPolicy;
    private final IntentMachine<UpstreamCommand> mIntents;
    private final PlacementBackOff mBackOff;
    private final PeakNeed mPeakNeed = new PeakNeed();
    private final Map<UpstreamId, ObservedUpstream> mListed = new HashMap<>();
    private final Map<UpstreamId, Started> mStartedUnlisted = new HashMap<>();
    private final Set<UpstreamId> mStopping = new HashSet<>();
    private final Map<UpstreamId, Long> mDraining = new HashMap<>();
    private final Set<UpstreamId> mPublishedLeaving = new HashSet<>();

    private Option<PlanLimits> mLimits = Option.none();
    private Option<PoolDemand> mDemand = Option.none();
    private Option<Long> mListedAt = Option.none();
    private long mNextPlanAt;

    /**
     * Creates the duty.
     *
     * @param policy determines the target number of upstreams
     * @param timing timing of the intents
     * @param random source of the jitter
     * @param startNanos monotonic time of the first plan in nanoseconds
     * @param invariants receives the results of checks
     */
    public OrderDuty(
            PoolName pool,
            OrderPolicy policy,
            IntentTiming timing,
            RandomGenerator random,
            long startNanos,
            InvariantMonitor invariants) {
        mPool = pool;
        mPolicy = policy;
        mIntents = new IntentMachine<>(roleOf(pool), timing, random, invariants);
        mBackOff = new PlacementBackOff(random);
        mNextPlanAt = startNanos;
    }

    /** Returns the role under which the upstreams of a pool are ordered. */
    public static String roleOf(PoolName pool) {
        return "orders/" + pool;
    }

    @Override
    public String dutyName() {
        return "orders-" + mPool;
    }

    @Override
    public void onEvent(OrderEvent event, long nowNanos, ActionSink<OrderAction> actions) {
        if (event instanceof OrderEvent.RoleEvent role) {
            mIntents.onEvent(role.event(), nowNanos, intentSink(nowNanos, actions));
        } else if (event instanceof OrderEvent.UpstreamsListed list) {
            onUpstreamsListed(list.upstreams(), nowNanos, actions);
        } else if (event instanceof OrderEvent.DemandObserved observed) {
            mDemand = Option.some(observed.demand());
        } else if (event instanceof OrderEvent.LimitsChanged changed) {
            mLimits = Option.some(changed.limits());
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<OrderAction> actions) {
        mIntents.onTimer(nowNanos, intentSink(nowNanos, actions));
        if (mNextPlanAt <= nowNanos) {
            mNextPlanAt = nowNanos + PLAN_INTERVAL_NANOS;
            actions.emit(new OrderAction.ListUpstreams());
            if (mIntents.isReady() && isListFresh(nowNanos)) {
                stopDrained(nowNanos, actions);
                mLimits.forEach(bounds -> mDemand.forEach(d -> plan(bounds, d, nowNanos, actions)));
            }
        }
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(mNextPlanAt, mIntents.nextTimerNanos());
    }

    private boolean isListFresh(long now) {
        return mListedAt.exists(at -> now - at <= MAX_LIST_AGE_NANOS);
    }

    private ActionSink<IntentAction<UpstreamCommand>> intentSink(
            long now, ActionSink<OrderAction> actions) {
        return action -> {
            if (action instanceof IntentAction.Completed<UpstreamCommand> completed) {
                onCompleted(completed.intent().command(), completed.result(), now, actions);
            } else {
                actions.emit(new OrderAction.RoleAction(action));
            }
        };
    }

    private void onCompleted(
            UpstreamCommand command,
            CommandResult result,
            long now,
            ActionSink<OrderAction> actions) {
        if (command.action() == UpstreamCommand.Action.STOP) {
            if (result != CommandResult.DONE) {
                mStopping.remove(command.upstream());
            }
            return;
        }
        if (result == CommandResult.DONE) {
            mBackOff.onAccepted(command.placement());
            if (!mListed.containsKey(command.upstream())) {
                mStartedUnlisted.put(command.upstream(), new Started(command.placement(), now));
            }
        } else if (result == CommandResult.REFUSED) {
            mBackOff.onRefused(command.placement(), now);
            actions.emit(new OrderAction.CapacityRefused(command.placement()));
        }
    }

    private void onUpstreamsListed(
            List<ObservedUpstream> upstreams, long now, ActionSink<OrderAction> actions) {
        mListedAt = Option.some(now);
        mListed.clear();
        for (ObservedUpstream upstream : upstreams) {
            mListed.put(upstream.id(), upstream);
            mStartedUnlisted.remove(upstream.id());
            if (upstream.state().countsAsCapacity()) {
                continue;
            }
            if (mPublishedLeaving.add(upstream.id())) {
                actions.emit(new OrderAction.PublishLeaving(upstream.id()));
                if (upstream.placement().kind() == CapacityKind.CHEAP
                        && !mStopping.contains(upstream.id())) {
                    // After a reclaim the placement has no capacity for some time.
                    mBackOff.onRefused(upstream.placement(), now);
                }
            }
        }
        mPublishedLeaving.retainAll(mListed.keySet());
        mStopping.removeIf(id -> !mListed.containsKey(id) && !mIntents.hasOpenIntent(id.value()));
        mStartedUnlisted.values().removeIf(start -> now - start.nanos > LISTING_TIMEOUT_NANOS);
    }

    private void plan(
            PlanLimits bounds,
            PoolDemand currentDemand,
            long now,
            ActionSink<OrderAction> actions) {
        CapacityNeed need = bounds.need(currentDemand);
        CapacityNeed recent = mPeakNeed.add(need, now, bounds.spareRetentionSeconds());
        PlanInput input = new PlanInput(bounds, need, recent, present(), mBackOff.unavailable(now));
        CapacityPlan plan = CapacityPlanner.plan(input, mPolicy);
        ActionSink<IntentAction<UpstreamCommand>> sink = intentSink(now, actions);
        for (CapacityPlacement placement : plan.starts()) {
            UpstreamId id = new UpstreamId(mPool + "-" + mIntents.nextUniqueName());
            mIntents.propose(command(UpstreamCommand.Action.START, id, placement), now, sink);
        }
        for (UpstreamId id : plan.stops()) {
            if (mListed.containsKey(id) && mStopping.add(id)) {
                mDraining.put(id, now);
                if (mPublishedLeaving.add(id)) {
                    actions.emit(new OrderAction.PublishLeaving(id));
                }
            }
        }
    }

    private void stopDrained(long now, ActionSink<OrderAction> actions) {
        mDraining.keySet().retainAll(mListed.keySet());
        List<UpstreamId> drained =
                mDraining.entrySet().stream()
                        .filter(entry -> now - entry.getValue() >= DRAIN_NANOS)
                        .map(Map.Entry::getKey)
                        .filter(id -> !mIntents.hasOpenIntent(id.value()))
                        .sorted()
                        .toList();
        for (UpstreamId id : drained) {
            mDraining.remove(id);
            Option.of(mListed.get(id))
                    .map(upstream -> command(UpstreamCommand.Action.STOP, id, upstream.placement()))
                    .forEach(stop -> mIntents.propose(stop, now, intentSink(now, actions)));
        }
    }

    private UpstreamCommand command(
            UpstreamCommand.Action action, UpstreamId upstream, CapacityPlacement placement) {
        return new UpstreamCommand(action, upstream, mPool, placement);
    }

    /** Returns the listed upstreams and those that have been ordered but are not listed yet. */
    private List<ObservedUpstream> present() {
        Map<UpstreamId, ObservedUpstream> all = new HashMap<>(mListed);
        mStartedUnlisted.forEach(
                (id, start) ->
                        all.put(
                                id,
                                new ObservedUpstream(
                                        id, start.placement, ObservedUpstream.State.STARTING)));
        for (UpstreamCommand command : mIntents.openCommands()) {
            if (command.action() == UpstreamCommand.Action.STOP) {
                mStopping.add(command.upstream());
            } else {
                all.putIfAbsent(
                        command.upstream(),
                        new ObservedUpstream(
                                command.upstream(),
                                command.placement(),
                                ObservedUpstream.State.STARTING));
            }
        }
        List<ObservedUpstream> present = new ArrayList<>();
        for (ObservedUpstream upstream : all.values()) {
            present.add(
                    mStopping.contains(upstream.id())
                            ? new ObservedUpstream(
                                    upstream.id(),
                                    upstream.placement(),
                                    ObservedUpstream.State.LEAVING)
                            : upstream);
        }
        present.sort((a, b) -> a.id().compareTo(b.id()));
        return present;
    }

    private record Started(CapacityPlacement placement, long nanos) {}
}
