package org.fuchsialever.benchmarks.orders;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentEvent;
import org.fuchsialever.decisions.intent.IntentTiming;
import org.fuchsialever.decisions.intent.Journal;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.orders.CapacityPlacement;
import org.fuchsialever.decisions.orders.ObservedUpstream;
import org.fuchsialever.decisions.orders.ObservedUpstream.State;
import org.fuchsialever.decisions.orders.OrderAction;
import org.fuchsialever.decisions.orders.OrderDuty;
import org.fuchsialever.decisions.orders.OrderEvent;
import org.fuchsialever.decisions.orders.OrderPolicy;
import org.fuchsialever.decisions.orders.PlanLimits;
import org.fuchsialever.decisions.orders.PoolDemand;
import org.fuchsialever.decisions.orders.TeamDemand;
import org.fuchsialever.decisions.orders.UpstreamCommand;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.time.ManualTimeSource;

/**
 * Measures cost and service of each policy over one day: live demand follows a day curve with
 * noise, rollout steps add demand, starting takes 90 s, and cheap failure domains are reclaimed
 * with 20 s of notice and refuse capacity afterwards. The price is the mean over the day; a regular
 * upstream costs 1, a cheap one 0.35, and each start as much as 180 s of a regular one.
 */
public final class DayExperiment {
    private static final long[] SEEDS = {1, 2, 3};
    private static final int DAY_SECONDS = 86_400;
    private static final long SECOND = 1_000_000_000L;
    private static final int SLOTS = 32;
    private static final int START_SECONDS = 90;
    private static final int NOTICE_SECONDS = 20;
    private static final int REFUSING_SECONDS = 1_800;
    private static final double CHEAP_PRICE = 0.35;
    private static final double START_COST = 180;
    private static final double RECLAIMS_PER_DAY = 6;
    private static final List<FailureDomain> DOMAINS =
            List.of(new FailureDomain("a"), new FailureDomain("b"), new FailureDomain("c"));
    private static final PlanLimits LIMITS =
            new PlanLimits(3, 24, SLOTS, DOMAINS, 1, CHEAP_PRICE, START_COST);

    private final Map<UpstreamId, Running> upstreams = new LinkedHashMap<>();
    private final Map<CapacityPlacement, Integer> refusingUntil = new LinkedHashMap<>();
    private final DutyStepper stepper = new DutyStepper(new ManualTimeSource(0));
    private final SplittableRandom random;
    private final ActionSink<OrderEvent> duty;
    private long version;
    private int second;
    private int starts;
    private double cost;
    private double cheapWork;
    private double work;
    private double missedLive;
    private double live;
    private double missedBatch;
    private double batch;
    private int secondsShort;
    private double noise = 1;

    private DayExperiment(OrderPolicy policy, long seed) {
        random = new SplittableRandom(seed);
        duty =
                stepper.add(
                        new OrderDuty(
                                new PoolName("engines"),
                                policy,
                                IntentTiming.standard(Duration.ofSeconds(10)),
                                new SplittableRandom(seed),
                                0,
                                InvariantMonitor.throwing()),
                        this::carryOut);
        duty.emit(new OrderEvent.LimitsChanged(LIMITS));
        duty.emit(new OrderEvent.RoleEvent(new IntentEvent.LeaseAcquired<>(1)));
    }

    /** Runs each policy with each seed and prints cost and service. */
    public static void main(String[] arguments) {
        System.out.println(
                "policy     seed  price   live missed  batch missed  seconds short  on cheap "
                        + " starts");
        for (OrderPolicy policy : OrderPolicy.values()) {
            for (long seed : SEEDS) {
                DayExperiment day = new DayExperiment(policy, seed);
                day.run();
                day.print(policy, seed);
            }
        }
    }

    private void run() {
        Set<Integer> reclaims = new HashSet<>();
        SplittableRandom events = random.split();
        while (reclaims.size() < RECLAIMS_PER_DAY) {
            reclaims.add(events.nextInt(DAY_SECONDS));
        }
        for (second = 0; second < DAY_SECONDS; second++) {
            if (reclaims.contains(second)) {
                reclaim(DOMAINS.get(events.nextInt(DOMAINS.size())));
            }
            step();
        }
    }

    private void step() {
        upstreams.values().forEach(this::age);
        if (second % 10 == 0) {
            noise = 0.9 * noise + 0.1 * (0.7 + 0.6 * random.nextDouble());
        }
        double hour = second / 3_600.0;
        double liveNow = (90 + 80 * Math.sin((hour - 8) / 24 * 2 * Math.PI)) * noise;
        // Steps of 10 minutes with a pause of 5 minutes between them.
        double batchNow = second % 900 < 600 ? 120 : 0;
        duty.emit(
                new OrderEvent.DemandObserved(
                        new PoolDemand(
                                List.of(new TeamDemand(new TeamName("t"), 1, liveNow, batchNow)),
                                List.of())));
        stepper.advance(SECOND);
        account(liveNow, batchNow);
    }

    private void account(double liveNow, double batchNow) {
        int regularSlots = 0;
        int cheapSlots = 0;
        for (Running upstream : upstreams.values()) {
            boolean regular = upstream.place.kind() == CapacityKind.REGULAR;
            if (upstream.state != State.STOPPED) {
                cost += regular ? 1 : CHEAP_PRICE;
            }
            if (upstream.state == State.SERVING) {
                regularSlots += regular ? SLOTS : 0;
                cheapSlots += regular ? 0 : SLOTS;
            }
        }
        double slots = regularSlots + cheapSlots;
        double liveServed = Math.min(liveNow, slots);
        double batchServed = Math.min(batchNow, slots - liveServed);
        if (second < 600) {
            return; // The pool starts empty; its first ten minutes say nothing about a policy.
        }
        live += liveNow;
        batch += batchNow;
        missedLive += liveNow - liveServed;
        missedBatch += batchNow - batchServed;
        secondsShort += liveServed < liveNow ? 1 : 0;
        work += liveServed + batchServed;
        cheapWork += slots == 0 ? 0 : (liveServed + batchServed) * cheapSlots / slots;
    }

    private void print(OrderPolicy policy, long seed) {
        System.out.printf(
                Locale.ROOT,
                "%-9s  %4d  %6.2f  %10.4f%%  %11.3f%%  %13d  %7.1f%%  %6d%n",
                policy,
                seed,
                cost / DAY_SECONDS,
                100 * missedLive / live,
                100 * missedBatch / batch,
                secondsShort,
                100 * cheapWork / work,
                starts);
    }

    private void reclaim(FailureDomain domain) {
        CapacityPlacement place = new CapacityPlacement(CapacityKind.CHEAP, domain);
        refusingUntil.put(place, second + REFUSING_SECONDS);
        for (Running upstream : upstreams.values()) {
            if (upstream.place.equals(place) && upstream.state != State.STOPPED) {
                upstream.state = State.LEAVING;
                upstream.stopAt = second + NOTICE_SECONDS;
            }
        }
    }

    private void age(Running upstream) {
        if (upstream.state == State.STARTING && second >= upstream.serveAt) {
            upstream.state = State.SERVING;
        }
        if (upstream.state == State.LEAVING && second >= upstream.stopAt) {
            upstream.state = State.STOPPED;
        }
    }

    private void carryOut(OrderAction action) {
        if (action instanceof OrderAction.ListUpstreams) {
            upstreams.values().removeIf(each -> each.state == State.STOPPED && each.listed);
            List<ObservedUpstream> list = new ArrayList<>();
            upstreams.forEach(
                    (id, each) -> {
                        each.listed = each.state == State.STOPPED;
                        list.add(new ObservedUpstream(id, each.place, each.state));
                    });
            duty.emit(new OrderEvent.UpstreamsListed(list));
        } else if (action instanceof OrderAction.RoleAction role) {
            carryOut(role.action());
        }
    }

    private void carryOut(IntentAction<UpstreamCommand> action) {
        if (action instanceof IntentAction.ReadJournal<UpstreamCommand> read) {
            emit(new IntentEvent.JournalRead<>(read.fencing(), Journal.absent()));
        } else if (action instanceof IntentAction.WriteJournal<UpstreamCommand> write) {
            emit(new IntentEvent.Committed<>(write.writer(), ++version));
        } else if (action instanceof IntentAction.SendCommand<UpstreamCommand> order) {
            emit(
                    new IntentEvent.AttemptEnded<>(
                            order.fencing(),
                            order.intent().id(),
                            order.attempt(),
                            receive(order.intent().command())));
        }
    }

    private CommandResult receive(UpstreamCommand command) {
        if (command.action() == UpstreamCommand.Action.STOP) {
            upstreams.computeIfPresent(
                    command.upstream(),
                    (id, upstream) -> {
                        upstream.state = State.STOPPED;
                        return upstream;
                    });
            return CommandResult.DONE;
        }
        if (refusingUntil.getOrDefault(command.placement(), 0) > second) {
            return CommandResult.REFUSED;
        }
        starts++;
        cost += START_COST;
        upstreams.put(command.upstream(), new Running(command.placement(), second + START_SECONDS));
        return CommandResult.DONE;
    }

    private void emit(IntentEvent<UpstreamCommand> event) {
        duty.emit(new OrderEvent.RoleEvent(event));
    }

    private static final class Running {
        private final CapacityPlacement place;
        private final int serveAt;
        private State state = State.STARTING;
        private int stopAt;
        private boolean listed;

        private Running(CapacityPlacement place, int serveAt) {
            this.place = place;
            this.serveAt = serveAt;
        }
    }
}
