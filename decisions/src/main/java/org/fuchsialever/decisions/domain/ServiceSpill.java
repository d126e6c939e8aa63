package org.fuchsialever.decisions.domain;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The share of calls of one service that leave the failure domain. It moves in small steps, because
 * the other instances see the same load, equally late, and decide alike.
 */
final class ServiceSpill {
    /** Mean interval between two steps, in which part of the reports is renewed. */
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** At this rate the share follows a lasting shortage within seconds and outlasts the lag. */
    private static final double MAX_RAISE = 0.05;

    private static final double MIN_RAISE = 0.01;

    /** All calls are back within ten seconds, and upstreams that return fill up gradually. */
    private static final double MAX_LOWERING = 0.04;

    private static final double MIN_LOWERING = 0.01;

    /** A shortfall of utilization at home that lowers the share by most. */
    private static final double IDLE_SHORTFALL = 0.15;

    /** A few calls stay while the home domain serves, so that its load remains known. */
    private static final double MAX_SHARE = 0.95;

    /** An excess of utilization at home that raises the share by most. */
    private static final double URGENT_EXCESS = 0.4;

    /** Calls leave once the wait at home exceeds the one elsewhere by this multiple of the hop. */
    private static final double LEAVE_HOPS = 2;

    /** Calls return once the wait at home exceeds the one elsewhere by less than this multiple. */
    private static final double RETURN_HOPS = 0.5;

    /** Calls return only this long after the last ones were sent away, longer than reports lag. */
    private static final long LEAVE_DWELL_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Further calls leave only this long after the last ones returned, unless it is urgent. */
    private static final long RETURN_DWELL_NANOS = TimeUnit.SECONDS.toNanos(6);

    private static final long SMOOTHING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Period over which the usual utilization of a service is averaged. */
    private static final long USUAL_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** A backlog that is being worked off is not usual. */
    private static final double MAX_USUAL = 0.9;

    /** A longer queue changes no decision, but would outlast it in the estimate. */
    private static final double MAX_UTILIZATION = 2;

    /** Assumed until a service has reported load. */
    private static final double INITIAL_UTILIZATION = 0.5;

    private static final long INITIAL_WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Weight of a call in the average duration. */
    private static final double WORK_WEIGHT = 0.05;

    private final String mService;
    private final String mHome;
    private final DomainCost mCost;
    private final RandomGenerator mRandom;
    private final Map<String, LoadEstimate> mEstimates = new HashMap<>();
    private final LoadEstimate mUsual = new LoadEstimate(USUAL_NANOS, Long.MAX_VALUE);
    private long mWorkNanos = INITIAL_WORK_NANOS;
    private Neighbours mNeighbours = Neighbours.NONE;
    private boolean mHomeServes = true;
    private double mShare;
    private long mHomeWaitNanos;
    private long mRaisedAt;
    private long mLoweredAt;
    private long mSteppedAt;
    private long mStepAfter = STEP_NANOS;
    private double mPatience = 1;
    private boolean mStarted;

    ServiceSpill(String service, String home, DomainCost cost, RandomGenerator random) {
        mService = service;
        mHome = home;
        mCost = cost;
        mRandom = random;
    }

    /** Returns the share of calls that leave, 0 to 1. */
    double share() {
        return mShare;
    }

    /** Records how long a call took at its upstream. */
    void noteWork(long nanos) {
        mWorkNanos += Math.round(WORK_WEIGHT * (nanos - mWorkNanos));
    }

    /** Takes in what is known of the load and changes the share if it is time to. */
    void update(List<DomainLoad> loads, long now, Consumer<ShareChange> changes) {
        if (!mStarted) {
            mStarted = true;
            mSteppedAt = now;
            mRaisedAt = now - LEAVE_DWELL_NANOS;
            mLoweredAt = now - RETURN_DWELL_NANOS;
        }
        double usual = observe(loads, now);
        mNeighbours = Neighbours.of(loads, mHome, load -> estimate(load, usual, now), mWorkNanos);
        Option<DomainLoad> home =
                Option.ofOptional(
                        loads.stream()
                                .filter(load -> load.domain().equals(mHome) && load.isServing())
                                .findFirst());
        mHomeServes = home.isDefined();
        mHomeWaitNanos =
                home.map(load -> load.waitNanos(estimate(load, usual, now), mWorkNanos))
                        .getOrElse(0L);
        if (mNeighbours.isEmpty()) {
            change(0, LeaveReason.NEIGHBOURS_LOST, now, changes);
        } else if (home.isEmpty()) {
            change(1, LeaveReason.HOME_LOST, now, changes);
        } else if (mShare > MAX_SHARE) {
            change(MAX_SHARE, LeaveReason.ROOM_BACK, now, changes);
        } else if (now - mSteppedAt >= mStepAfter) {
            step(home.get(), estimate(home.get(), usual, now), now, changes);
            return;
        }
        if (home.isEmpty() || mNeighbours.isEmpty()) {
            mSteppedAt = now;
        }
    }

    /** Updates the estimates and returns the usual utilization. */
    private double observe(List<DomainLoad> loads, long now) {
        for (DomainLoad load : loads) {
            Option<Double> capped = load.utilization().map(used -> Math.min(used, MAX_USUAL));
            mUsual.observe(capped, load.coverage(), INITIAL_UTILIZATION, now);
        }
        double usual = mUsual.value(INITIAL_UTILIZATION, now);
        for (DomainLoad load : loads) {
            mEstimates
                    .computeIfAbsent(
                            load.domain(),
                            domain -> new LoadEstimate(SMOOTHING_NANOS, MEMORY_NANOS))
                    .observe(
                            load.utilization().map(used -> Math.min(used, MAX_UTILIZATION)),
                            load.coverage(),
                            usual,
                            now);
        }
        return usual;
    }

    /** Returns whether the load at home was reported lately; else calls stay there as usual. */
    private boolean isHomeKnown(long now) {
        LoadEstimate home = mEstimates.get(mHome);
        return home != null && home.isCurrent(now);
    }

    private double estimate(DomainLoad load, double usual, long now) {
        LoadEstimate estimate = mEstimates.get(load.domain());
        return estimate == null ? usual : estimate.value(usual, now);
    }

    /**
     * Compares utilizations, not waits: a wait grows so steeply with the utilization that the noise
     * of the reports would make the home domain look worse than it is.
     */
    private void step(DomainLoad home, double used, long now, Consumer<ShareChange> changes) {
        long elapsed = now - mSteppedAt;
        mSteppedAt = now;
        mStepAfter = Math.round(STEP_NANOS * (0.5 + mRandom.nextDouble()));
        double excess = used - breakEven(home, LEAVE_HOPS);
        double shortfall = isHomeKnown(now) ? breakEven(home, RETURN_HOPS) - used : IDLE_SHORTFALL;
        if (shortfall > 0) {
            if (mShare > 0 && now - mRaisedAt >= mPatience * LEAVE_DWELL_NANOS) {
                // An instance with few calls makes up for the steps that it has missed.
                double steps = Math.max(1, (double) elapsed / STEP_NANOS);
                double lowering =
                        steps * scaled(shortfall / IDLE_SHORTFALL, MIN_LOWERING, MAX_LOWERING);
                change(Math.max(0, mShare - lowering), LeaveReason.ROOM_BACK, now, changes);
            }
        } else if (excess > URGENT_EXCESS
                || excess > 0 && now - mLoweredAt >= mPatience * RETURN_DWELL_NANOS) {
            double raise = scaled(excess / URGENT_EXCESS, MIN_RAISE, MAX_RAISE);
            change(Math.min(MAX_SHARE, mShare + raise), LeaveReason.HOME_SHORT, now, changes);
        }
    }

    private static double scaled(double fraction, double min, double max) {
        return Math.max(min, max * Math.min(1, fraction));
    }

    private double breakEven(DomainLoad home, double hops) {
        long wait = mNeighbours.waitNanos() + Math.round(hops * mCost.hopNanos());
        return home.utilizationAt(wait, mWorkNanos);
    }

    private void change(double share, LeaveReason reason, long now, Consumer<ShareChange> changes) {
        if (share == mShare) {
            return;
        }
        if (share > mShare) {
            mRaisedAt = now;
        } else {
            mLoweredAt = now;
        }
        // Instances that changed their shares together do not turn together.
        mPatience = 0.75 + mRandom.nextDouble() / 2;
        double before = mShare;
        mShare = share;
        changes.accept(
                new ShareChange(
                        mService, before, share, reason, mHomeWaitNanos, mNeighbours.waitNanos()));
    }

    /** Returns the failure domain that a call with a body of the given size should run in. */
    String target(long bytes) {
        if (mShare == 0 || mNeighbours.isEmpty()) {
            return mHome;
        }
        // The dearer the body, the longer the wait at home that pays for it.
        long dear = mCost.bytesNanos(bytes);
        long gain = mHomeWaitNanos - mNeighbours.waitNanos() - mCost.hopNanos();
        long paid = Math.max(mCost.hopNanos(), gain);
        double probability = !mHomeServes || dear <= paid ? mShare : mShare * paid / dear;
        return mRandom.nextDouble() < probability ? mNeighbours.draw(mRandom) : mHome;
    }
}
