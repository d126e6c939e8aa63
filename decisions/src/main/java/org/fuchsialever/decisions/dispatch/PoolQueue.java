package org.fuchsialever.decisions.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.model.TeamName;
import org.jspecify.annotations.Nullable;

/** Waiting requests of one pool and the shares of its teams. */
final class PoolQueue {
    private static final long REMOTE_TIMEOUT_INTERVALS = 6;

    /** Quotas lag behind demand; without overbooking, slots would stay idle in the meantime. */
    private static final double OVERBOOKING = 1.2;

    private final Map<TeamName, TeamShare> mTeams = new TreeMap<>();
    private final DispatchSettings mSettings;
    private final RandomGenerator mRandom;
    private int mWaiting;

    PoolQueue(DispatchSettings settings, RandomGenerator random) {
        mSettings = settings;
        mRandom = random;
    }

    TeamShare team(TeamName name) {
        return mTeams.computeIfAbsent(
                name, n -> new TeamShare(n, mSettings.shareHalfLife().toNanos()));
    }

    Iterable<TeamShare> teams() {
        return mTeams.values();
    }

    int waiting() {
        return mWaiting;
    }

    boolean isFull() {
        return mWaiting >= mSettings.queueCapacity();
    }

    void add(QueuedRequest queued, long nowNanos) {
        TeamShare share = team(queued.request().team());
        if (share.demand() == 0 && share.remoteDemand() == 0) {
            share.raiseVirtualTimeTo(minActiveVirtualTime(nowNanos), nowNanos);
        }
        share.add(queued);
        mWaiting++;
    }

    boolean remove(QueuedRequest queued) {
        boolean removed = team(queued.request().team()).remove(queued);
        if (removed) {
            mWaiting--;
        }
        return removed;
    }

    /**
     * Returns the request to serve next, or null.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @param ignoreQuotas whether capacity is free, so that teams may exceed their quota
     */
    @Nullable QueuedRequest next(long nowNanos, boolean ignoreQuotas) {
        QueuedRequest best = null;
        double bestTime = 0;
        for (TeamShare share : mTeams.values()) {
            QueuedRequest head = share.head(nowNanos, mSettings.rolloutAgeing().toNanos());
            if (head == null || !ignoreQuotas && share.running() >= share.quota()) {
                continue;
            }
            double time = share.virtualTime(nowNanos);
            if (best == null || precedes(head, time, best, bestTime, nowNanos)) {
                best = head;
                bestTime = time;
            }
        }
        return best;
    }

    /** Computes the quota of each team at this instance from the demand at all instances. */
    void updateQuotas(int slots, long nowNanos) {
        long remoteTimeout = mSettings.shareInterval().toNanos() * REMOTE_TIMEOUT_INTERVALS;
        List<TeamShare> shares = new ArrayList<>(mTeams.values());
        double[] demands = new double[shares.size()];
        double[] weights = new double[shares.size()];
        for (int i = 0; i < demands.length; i++) {
            TeamShare share = shares.get(i);
            share.removeRemotesBefore(nowNanos - remoteTimeout);
            demands[i] = share.demand() + share.remoteDemand();
            weights[i] = share.weight();
        }
        double[] allocated = ShareAllocator.allocate(slots * OVERBOOKING, demands, weights);
        for (int i = 0; i < demands.length; i++) {
            TeamShare share = shares.get(i);
            boolean contended = allocated[i] < demands[i];
            double ownShare = demands[i] == 0 ? 0 : allocated[i] * share.demand() / demands[i];
            share.setQuota(contended ? roundRandomly(ownShare) : Double.MAX_VALUE);
        }
    }

    List<DispatchEvent.TeamCost> teamCosts(long nowNanos) {
        List<DispatchEvent.TeamCost> costs = new ArrayList<>();
        for (TeamShare share : mTeams.values()) {
            double cost = share.ownCost(nowNanos);
            if (cost >= 1 || share.demand() > 0) {
                costs.add(new DispatchEvent.TeamCost(share.team(), cost, share.demand()));
            }
        }
        return costs;
    }

    /** Rounds up or down at random, so that quotas are exact on average, also below 1. */
    private double roundRandomly(double value) {
        double floor = Math.floor(value);
        return floor + (mRandom.nextDouble() < value - floor ? 1 : 0);
    }

    private boolean precedes(
            QueuedRequest first,
            double firstTime,
            QueuedRequest second,
            double secondTime,
            long now) {
        boolean firstLive = countsAsLive(first, now);
        boolean secondLive = countsAsLive(second, now);
        return firstLive == secondLive ? firstTime < secondTime : firstLive;
    }

    private boolean countsAsLive(QueuedRequest queued, long nowNanos) {
        return queued.request().route().priority() == Priority.LIVE
                || nowNanos - queued.queuedAt() > mSettings.rolloutAgeing().toNanos();
    }

    private double minActiveVirtualTime(long nowNanos) {
        double least = Double.MAX_VALUE;
        for (TeamShare share : mTeams.values()) {
            if (share.demand() > 0 || share.remoteDemand() > 0) {
                least = Math.min(least, share.virtualStartTime(nowNanos));
            }
        }
        return least == Double.MAX_VALUE ? 0 : least;
    }
}
