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

    private final Map<UpstreamId, Running> mUpstreams = new LinkedHashMap<>();
    private final Map<CapacityPlacement, Integer> mRefusingUntil = new LinkedHashMap<>();
    private final DutyStepper mStepper = new DutyStepper(new ManualTimeSource(0));
    private final SplittableRandom mRandom;
    private final ActionSink<OrderEvent> mDuty;
    private long mVersion;
    private int mSecond;
    private int mStarts;
    private double mCost;
    private double mCheapWork;
    private double mWork;
    private double mMissedLive;
    private double mLive;
    private double mMissedBatch;
    private double mBatch;
    private int mSecondsShort;
    private double mNoise = 1;

    private DayExperiment(OrderPolicy policy, long seed) {
        mRandom = new SplittableRandom(seed);
        mDuty =
                mStepper.add(
                        new OrderDuty(
                                new PoolName("engines"),
                                policy,
                                IntentTiming.standard(Duration.ofSeconds(10)),
                                new SplittableRandom(seed),
                                0,
                                InvariantMonitor.throwing()),
                        this::carryOut);
        mDuty.emit(new OrderEvent.LimitsChanged(LIMITS));
        mDuty.emit(new OrderEvent.RoleEvent(new IntentEvent.LeaseAcquired<>(1)));
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
        SplittableRandom events = mRandom.split();
        while (reclaims.size() < RECLAIMS_PER_DAY) {
            reclaims.add(events.nextInt(DAY_SECONDS));
        }
        for (mSecond = 0; mSecond < DAY_SECONDS; mSecond++) {
            if (reclaims.contains(mSecond)) {
                reclaim(DOMAINS.get(events.nextInt(DOMAINS.size())));
            }
            step();
        }
    }

    private void step() {
        mUpstreams.values().forEach(this::age);
        if (mSecond % 10 == 0) {
            mNoise = 0.9 * mNoise + 0.1 * (0.7 + 0.6 * mRandom.nextDouble());
        }
        double hour = mSecond / 3_600.0;
        double liveNow = (90 + 80 * Math.sin((hour - 8) / 24 * 2 * Math.PI)) * mNoise;
        // Steps of 10 minutes with a pause of 5 minutes between them.
        double batchNow = mSecond % 900 < 600 ? 120 : 0;
        mDuty.emit(
                new OrderEvent.DemandObserved(
                        new PoolDemand(
                                List.of(new TeamDemand(new TeamName("t"), 1, liveNow, batchNow)),
                                List.of())));
        mStepper.advance(SECOND);
        account(liveNow, batchNow);
    }

    private void account(double liveNow, double batchNow) {
        int regularSlots = 0;
        int cheapSlots = 0;
        for (Running upstream : mUpstreams.values()) {
            boolean regular = upstream.mPlace.kind() == CapacityKind.REGULAR;
            if (upstream.mState != State.STOPPED) {
                mCost += regular ? 1 : CHEAP_PRICE;
            }
            if (upstream.mState == State.SERVING) {
                regularSlots += regular ? SLOTS : 0;
                cheapSlots += regular ? 0 : SLOTS;
            }
        }
        double slots = regularSlots + cheapSlots;
        double liveServed = Math.min(liveNow, slots);
        double batchServed = Math.min(batchNow, slots - liveServed);
        if (mSecond < 600) {
            return; // The pool starts empty; its first ten minutes say nothing about a policy.
        }
        mLive += liveNow;
        mBatch += batchNow;
        mMissedLive += liveNow - liveServed;
        mMissedBatch += batchNow - batchServed;
        mSecondsShort += liveServed < liveNow ? 1 : 0;
        mWork += liveServed + batchServed;
        mCheapWork += slots == 0 ? 0 : (liveServed + batchServed) * cheapSlots / slots;
    }

    private void print(OrderPolicy policy, long seed) {
        System.out.printf(
                Locale.ROOT,
                "%-9s  %4d  %6.2f  %10.4f%%  %11.3f%%  %13d  %7.1f%%  %6d%n",
                policy,
                seed,
                mCost / DAY_SECONDS,
                100 * mMissedLive / mLive,
                100 * mMissedBatch / mBatch,
                mSecondsShort,
                100 * mCheapWork / mWork,
                mStarts);
    }

    private void reclaim(FailureDomain domain) {
        CapacityPlacement place = new CapacityPlacement(CapacityKind.CHEAP, domain);
        mRefusingUntil.put(place, mSecond + REFUSING_SECONDS);
        for (Running upstream : mUpstreams.values()) {
            if (upstream.mPlace.equals(place) && upstream.mState != State.STOPPED) {
                upstream.mState = State.LEAVING;
                upstream.mStopAt = mSecond + NOTICE_SECONDS;
            }
        }
    }

    private void age(Running upstream) {
        if (upstream.mState == State.STARTING && mSecond >= upstream.mServeAt) {
            upstream.mState = State.SERVING;
        }
        if (upstream.mState == State.LEAVING && mSecond >= upstream.mStopAt) {
            upstream.mState = State.STOPPED;
        }
    }

    private void carryOut(OrderAction action) {
        if (action instanceof OrderAction.ListUpstreams) {
            mUpstreams.values().removeIf(each -> each.mState == State.STOPPED && each.mListed);
            List<ObservedUpstream> list = new ArrayList<>();
            mUpstreams.forEach(
                    (id, each) -> {
                        each.mListed = each.mState == State.STOPPED;
                        list.add(new ObservedUpstream(id, each.mPlace, each.mState));
                    });
            mDuty.emit(new OrderEvent.UpstreamsListed(list));
        } else if (action instanceof OrderAction.RoleAction role) {
            carryOut(role.action());
        }
    }

    private void carryOut(IntentAction<UpstreamCommand> action) {
        if (action instanceof IntentAction.ReadJournal<UpstreamCommand> read) {
            emit(new IntentEvent.JournalRead<>(read.fencing(), Journal.absent()));
        } else if (action instanceof IntentAction.WriteJournal<UpstreamCommand> write) {
            emit(new IntentEvent.Committed<>(write.writer(), ++mVersion));
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
            mUpstreams.computeIfPresent(
                    command.upstream(),
                    (id, upstream) -> {
                        upstream.mState = State.STOPPED;
                        return upstream;
                    });
            return CommandResult.DONE;
        }
        if (mRefusingUntil.getOrDefault(command.placement(), 0) > mSecond) {
            return CommandResult.REFUSED;
        }
        mStarts++;
        mCost += START_COST;
        mUpstreams.put(
                command.upstream(), new Running(command.placement(), mSecond + START_SECONDS));
        return CommandResult.DONE;
    }

    private void emit(IntentEvent<UpstreamCommand> event) {
        mDuty.emit(new OrderEvent.RoleEvent(event));
    }

    private static final class Running {
        private final CapacityPlacement mPlace;
        private final int mServeAt;
        private State mState = State.STARTING;
        private int mStopAt;
        private boolean mListed;

        private Running(CapacityPlacement place, int serveAt) {
            mPlace = place;
            mServeAt = serveAt;
        }
    }
}
