package org.fuchsialever.decisions.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.model.TeamName;
import org.jspecify.annotations.Nullable;

/** Queue and cost of one team in one pool. */
final class TeamShare {
    private static final Comparator<QueuedRequest> BY_URGENCY =
            Comparator.comparingInt((QueuedRequest queued) -> -queued.request().urgency())
                    .thenComparingLong(QueuedRequest::arrival);

    private final TeamName mTeam;
    private final PriorityQueue<QueuedRequest> mLive = new PriorityQueue<>(BY_URGENCY);
    private final PriorityQueue<QueuedRequest> mRollouts = new PriorityQueue<>(BY_URGENCY);
    private final DecayingSum mOwnCost;
    private final DecayingSum mVirtualTimeOffset;
    private final Map<String, RemoteShare> mRemotes = new HashMap<>();
    private final long mHalfLifeNanos;
    private int mWeight = 1;
    private int mRunning;
    private double mRunningCost;
    private double mQuota = Double.MAX_VALUE;

    TeamShare(TeamName team, long halfLifeNanos) {
        mTeam = team;
        mHalfLifeNanos = halfLifeNanos;
        mOwnCost = new DecayingSum(halfLifeNanos);
        mVirtualTimeOffset = new DecayingSum(halfLifeNanos);
    }

    TeamName team() {
        return mTeam;
    }

    int weight() {
        return mWeight;
    }

    void setWeight(int newWeight) {
        mWeight = newWeight;
    }

    void add(QueuedRequest queued) {
        queueOf(queued).add(queued);
    }

    boolean remove(QueuedRequest queued) {
        return queueOf(queued).remove(queued);
    }

    /**
     * Returns the request to serve next: a rollout that has aged, else a live request, else a
     * rollout.
     */
    @Nullable QueuedRequest head(long nowNanos, long ageingNanos) {
        QueuedRequest rollout = mRollouts.peek();
        if (rollout != null && nowNanos - rollout.queuedAt() > ageingNanos) {
            return rollout;
        }
        return mLive.isEmpty() ? rollout : mLive.peek();
    }

    int waiting() {
        return mLive.size() + mRollouts.size();
    }

    /** Returns how many queued requests would be served before a new one of the given priority. */
    int countAhead(Priority priority) {
        return priority == Priority.LIVE ? mLive.size() : waiting();
    }

    Iterable<QueuedRequest> queued() {
        return io.vavr.collection.List.ofAll(mLive).appendAll(mRollouts);
    }

    /** Charges the expected cost of a request that starts. */
    void onStarted(double expectedCost, long nowNanos) {
        mRunning++;
        mRunningCost += expectedCost;
        mOwnCost.add(expectedCost, nowNanos);
    }

    /** Corrects the charge of a request that has ended to its actual cost. */
    void onEnded(double expectedCost, double realCost, long nowNanos) {
        mRunning--;
        mRunningCost -= expectedCost;
        mOwnCost.add(realCost - expectedCost, nowNanos);
    }

    int running() {
        return mRunning;
    }

    int demand() {
        return waiting() + mRunning;
    }

    double quota() {
        return mQuota;
    }

    /** Returns whether capacity is contended and the team runs fewer requests than its quota. */
    boolean hasQuota() {
        return mQuota != Double.MAX_VALUE && mRunning < mQuota;
    }

    void setQuota(double newQuota) {
        mQuota = newQuota;
    }

    double ownCost(long nowNanos) {
        return mOwnCost.at(nowNanos);
    }

    void onRemote(String instance, double cost, int demand, long nowNanos) {
        RemoteShare remote =
                mRemotes.computeIfAbsent(instance, i -> new RemoteShare(mHalfLifeNanos));
        remote.mCost.set(cost, nowNanos);
        remote.mDemand = demand;
        remote.mReceivedAt = nowNanos;
    }

    void removeRemotesBefore(long nanos) {
        mRemotes.values().removeIf(remote -> remote.mReceivedAt < nanos);
    }

    int remoteDemand() {
        int sum = 0;
        for (RemoteShare remote : mRemotes.values()) {
            sum += remote.mDemand;
        }
        return sum;
    }

    /**
     * Returns the virtual time of the team: the cost served by all instances divided by its weight.
     */
    double virtualTime(long nowNanos) {
        double cost = mOwnCost.at(nowNanos) + mVirtualTimeOffset.at(nowNanos);
        for (RemoteShare remote : mRemotes.values()) {
            cost += remote.mCost.at(nowNanos);
        }
        return cost / mWeight;
    }

    /** Returns the virtual time without the charges of the running requests. */
    double virtualStartTime(long nowNanos) {
        return virtualTime(nowNanos) - mRunningCost / mWeight;
    }

    /** Raises the virtual time to that of the active teams, so that idle time earns no credit. */
    void raiseVirtualTimeTo(double virtualTime, long nowNanos) {
        double deficit = virtualTime - virtualTime(nowNanos);
        if (deficit > 0) {
            mVirtualTimeOffset.add(deficit * mWeight, nowNanos);
        }
    }

    private PriorityQueue<QueuedRequest> queueOf(QueuedRequest queued) {
        return queued.request().route().priority() == Priority.LIVE ? mLive : mRollouts;
    }

    private static final class RemoteShare {
        private final DecayingSum mCost;
        private int mDemand;
        private long mReceivedAt;

        private RemoteShare(long halfLifeNanos) {
            mCost = new DecayingSum(halfLifeNanos);
        }
    }
}
