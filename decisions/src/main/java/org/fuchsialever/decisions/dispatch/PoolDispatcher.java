package org.fuchsialever.decisions.dispatch;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.config.Pool;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.jspecify.annotations.Nullable;

/** Queue, shares and upstreams of one pool. */
final class PoolDispatcher {
    private static final double MIN_SPARE_SHARE = 0.05;

    private final PoolQueue mQueue;
    private final Candidates mCandidates;
    private final ServiceTimes mTimes = new ServiceTimes();
    private final SelectionCriteria mCriteria = new SelectionCriteria();
    private final InvariantMonitor mInvariants;
    private BalancingPolicy mPolicy = BalancingPolicy.SCORED;
    private boolean mRemoved;

    PoolDispatcher(DispatchSettings settings, RandomGenerator random, InvariantMonitor invariants) {
        mQueue = new PoolQueue(settings, random);
        mCandidates = new Candidates(random, settings.domain(), mTimes);
        mInvariants = invariants;
    }

    PoolQueue queue() {
        return mQueue;
    }

    Candidates candidates() {
        return mCandidates;
    }

    ServiceTimes times() {
        return mTimes;
    }

    void update(Pool pool, Map<TeamName, Integer> weights) {
        mRemoved = false;
        mCandidates.update(pool.upstreams());
        weights.forEach((team, weight) -> mQueue.team(team).setWeight(weight));
        for (BalancingPolicy candidate : BalancingPolicy.values()) {
            if (candidate.pluginName().equals(pool.balancing())) {
                mPolicy = candidate;
            }
        }
    }

    /** Marks the pool as removed from the table: running requests may finish, none is started. */
    void markRemoved() {
        mRemoved = true;
        mCandidates.update(List.of());
    }

    boolean hasNoServingUpstream() {
        return mRemoved || !mCandidates.hasServingUpstream();
    }

    /** Returns whether a new request would probably miss its deadline. */
    boolean wouldMissDeadline(DispatchRequest request, long nowNanos) {
        TeamShare share = mQueue.team(request.team());
        int ahead = share.countAhead(request.route().priority());
        double wait = ahead * mTimes.averageNanos() / Math.max(1, share.running());
        return mTimes.wouldMissDeadline(request, nowNanos + wait);
    }

    /** Returns whether a waiting request can no longer be completed in time. */
    boolean isTooLate(QueuedRequest queued, long nowNanos) {
        return mTimes.wouldMissDeadline(queued.request(), nowNanos);
    }

    @Nullable QueuedRequest next(long nowNanos) {
        int free = mCandidates.freeSlots(nowNanos);
        boolean spare = free > mCandidates.countedSlots() * MIN_SPARE_SHARE;
        return mQueue.next(nowNanos, spare);
    }

    /** Selects an upstream and assigns the request to it; returns null if none is usable. */
    @Nullable UpstreamLoad assign(QueuedRequest queued, long nowNanos) {
        boolean hasQuota = mQueue.team(queued.request().team()).hasQuota();
        mCriteria.set(queued.request(), queued.failedUpstream(), hasQuota);
        int index = mPolicy.choose(mCandidates, mCriteria, nowNanos);
        if (index < 0 && queued.failedUpstream() != null) {
            // The upstream that failed may be the only one left.
            mCriteria.set(queued.request(), null, hasQuota);
            index = mPolicy.choose(mCandidates, mCriteria, nowNanos);
        }
        if (index < 0) {
            return null;
        }
        UpstreamLoad load = mCandidates.at(index);
        mInvariants.check(
                Invariant.LEAVING_UPSTREAM_IDLE,
                !load.isLeaving(),
                () -> load.spec().id() + " is leaving");
        double cost = expectedCost(queued.request());
        queued.start(load, cost);
        load.onSent(nowNanos);
        mCandidates.onAssigned();
        mQueue.team(queued.request().team()).onStarted(cost, nowNanos);
        if (queued.request().prefixHash() != 0) {
            mCandidates.cache().onStored(queued.request().prefixHash(), index);
        }
        return load;
    }

    /** Ends an attempt and corrects the charged cost to the actual one. */
    void release(QueuedRequest queued, AttemptReport report, long nowNanos) {
        UpstreamLoad load = queued.upstream();
        if (load == null) {
            return;
        }
        load.onEnded(report);
        mCandidates.onReleased();
        boolean plain = queued.request().maxTokens() == 0;
        double cost = plain ? 1 : report.promptTokens() + report.generatedTokens();
        mQueue.team(queued.request().team()).onEnded(queued.chargedCost(), cost, nowNanos);
        switch (report.result()) {
            case COMPLETED -> {
                load.health().onSuccess(nowNanos);
                mTimes.onCompleted(report);
            }
            case CANCELLED, NOT_ADMITTED -> {}
            default -> mCandidates.onFailure(load, nowNanos);
        }
        queued.stop();
    }

    private double expectedCost(DispatchRequest request) {
        return request.maxTokens() == 0
                ? 1
                : request.promptTokens() + mTimes.expectedTokens(request.maxTokens());
    }
}
