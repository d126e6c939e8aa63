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

/** Orders the upstreams of one pool while it holds the role {@code orders/<pool>}. */
public final class OrderDuty implements Duty<OrderEvent, OrderAction> {
    private static final long PLAN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** No plan is made on an older view of the platform. */
    private static final long MAX_LIST_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** The list of the platform may lag; a started upstream that is missing longer has failed. */
    private static final long LISTED_WITHIN_NANOS = TimeUnit.MINUTES.toNanos(2);

    /** Time for the requests of an upstream between the end of new work and its stop order. */
    private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final PoolName pool;
    private final OrderPolicy policy;
    private final IntentMachine<UpstreamCommand> intents;
    private final PlaceBackOff backOff;
    private final RecentNeed recentNeed = new RecentNeed();
    private final Map<UpstreamId, ObservedUpstream> listed = new HashMap<>();
    private final Map<UpstreamId, Started> started = new HashMap<>();
    private final Set<UpstreamId> stopping = new HashSet<>();
    private final Map<UpstreamId, Long> draining = new HashMap<>();
    private final Set<UpstreamId> published = new HashSet<>();

    private Option<PlanLimits> limits = Option.none();
    private Option<PoolDemand> demand = Option.none();
    private Option<Long> listedAt = Option.none();
    private long nextPlanAt;

    /**
     * Creates the duty.
     *
     * @param pool the pool
     * @param policy how many upstreams it is given
     * @param timing periods of the intents
     * @param random source of the jitter
     * @param startNanos monotonic time of the first plan in nanoseconds
     * @param invariants receives the result of checks
     */
    public OrderDuty(
            PoolName pool,
            OrderPolicy policy,
            IntentTiming timing,
            RandomGenerator random,
            long startNanos,
            InvariantMonitor invariants) {
        this.pool = pool;
        this.policy = policy;
        this.intents = new IntentMachine<>(roleOf(pool), timing, random, invariants);
        this.backOff = new PlaceBackOff(random);
        this.nextPlanAt = startNanos;
    }

    /** Returns the role under which the upstreams of a pool are ordered. */
    public static String roleOf(PoolName pool) {
        return "orders/" + pool;
    }

    @Override
    public String dutyName() {
        return "orders-" + pool;
    }

    @Override
    public void onEvent(OrderEvent event, long nowNanos, ActionSink<OrderAction> actions) {
        if (event instanceof OrderEvent.RoleEvent role) {
            intents.onEvent(role.event(), nowNanos, intentSink(nowNanos, actions));
        } else if (event instanceof OrderEvent.UpstreamsListed list) {
            onListed(list.upstreams(), nowNanos, actions);
        } else if (event instanceof OrderEvent.DemandObserved observed) {
            demand = Option.some(observed.demand());
        } else if (event instanceof OrderEvent.LimitsChanged changed) {
            limits = Option.some(changed.limits());
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<OrderAction> actions) {
        intents.onTimer(nowNanos, intentSink(nowNanos, actions));
        if (nextPlanAt <= nowNanos) {
            nextPlanAt = nowNanos + PLAN_NANOS;
            actions.emit(new OrderAction.ListUpstreams());
            if (intents.isReady() && listIsFresh(nowNanos)) {
                stopDrained(nowNanos, actions);
                limits.forEach(bounds -> demand.forEach(d -> plan(bounds, d, nowNanos, actions)));
            }
        }
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(nextPlanAt, intents.nextTimerNanos());
    }

    private boolean listIsFresh(long now) {
        return listedAt.exists(at -> now - at <= MAX_LIST_AGE_NANOS);
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
                stopping.remove(command.upstream());
            }
            return;
        }
        if (result == CommandResult.DONE) {
            backOff.accepted(command.placement());
            if (!listed.containsKey(command.upstream())) {
                started.put(command.upstream(), new Started(command.placement(), now));
            }
        } else if (result == CommandResult.REFUSED) {
            backOff.refused(command.placement(), now);
            actions.emit(new OrderAction.CapacityRefused(command.placement()));
        }
    }

    private void onListed(
            List<ObservedUpstream> upstreams, long now, ActionSink<OrderAction> actions) {
        listedAt = Option.some(now);
        listed.clear();
        for (ObservedUpstream upstream : upstreams) {
            listed.put(upstream.id(), upstream);
            started.remove(upstream.id());
            if (upstream.state().countsAsCapacity()) {
                continue;
            }
            if (published.add(upstream.id())) {
                actions.emit(new OrderAction.PublishLeaving(upstream.id()));
                if (upstream.placement().kind() == CapacityKind.CHEAP
                        && !stopping.contains(upstream.id())) {
                    // A reclaimed place refuses capacity for some time.
                    backOff.refused(upstream.placement(), now);
                }
            }
        }
        published.retainAll(listed.keySet());
        stopping.removeIf(id -> !listed.containsKey(id) && !intents.hasOpenIntent(id.value()));
        started.values().removeIf(start -> now - start.nanos > LISTED_WITHIN_NANOS);
    }

    private void plan(
            PlanLimits bounds, PoolDemand wanted, long now, ActionSink<OrderAction> actions) {
        CapacityNeed need = bounds.need(wanted);
        CapacityNeed recent = recentNeed.add(need, now, bounds.spareRetentionSeconds());
        PlanInput input = new PlanInput(bounds, need, recent, present(), backOff.unavailable(now));
        CapacityPlan plan = CapacityPlanner.plan(input, policy);
        ActionSink<IntentAction<UpstreamCommand>> sink = intentSink(now, actions);
        for (CapacityPlacement place : plan.starts()) {
            UpstreamId id = new UpstreamId(pool + "-" + intents.nextUniqueName());
            intents.propose(command(UpstreamCommand.Action.START, id, place), now, sink);
        }
        for (UpstreamId id : plan.stops()) {
            if (listed.containsKey(id) && stopping.add(id)) {
                draining.put(id, now);
                if (published.add(id)) {
                    actions.emit(new OrderAction.PublishLeaving(id));
                }
            }
        }
    }

    private void stopDrained(long now, ActionSink<OrderAction> actions) {
        draining.keySet().retainAll(listed.keySet());
        List<UpstreamId> drained =
                draining.entrySet().stream()
                        .filter(entry -> now - entry.getValue() >= DRAIN_NANOS)
                        .map(Map.Entry::getKey)
                        .filter(id -> !intents.hasOpenIntent(id.value()))
                        .sorted()
                        .toList();
        for (UpstreamId id : drained) {
            draining.remove(id);
            Option.of(listed.get(id))
                    .map(upstream -> command(UpstreamCommand.Action.STOP, id, upstream.placement()))
                    .forEach(stop -> intents.propose(stop, now, intentSink(now, actions)));
        }
    }

    private UpstreamCommand command(
            UpstreamCommand.Action action, UpstreamId upstream, CapacityPlacement place) {
        return new UpstreamCommand(action, upstream, pool, place);
    }

    /** Returns the listed upstreams and those that are ordered but not listed yet. */
    private List<ObservedUpstream> present() {
        Map<UpstreamId, ObservedUpstream> all = new HashMap<>(listed);
        started.forEach(
                (id, start) ->
                        all.put(
                                id,
                                new ObservedUpstream(
                                        id, start.place, ObservedUpstream.State.STARTING)));
        for (UpstreamCommand command : intents.openCommands()) {
            if (command.action() == UpstreamCommand.Action.STOP) {
                stopping.add(command.upstream());
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
                    stopping.contains(upstream.id())
                            ? new ObservedUpstream(
                                    upstream.id(),
                                    upstream.placement(),
                                    ObservedUpstream.State.LEAVING)
                            : upstream);
        }
        present.sort((a, b) -> a.id().compareTo(b.id()));
        return present;
    }

    private record Started(CapacityPlacement place, long nanos) {}
}
