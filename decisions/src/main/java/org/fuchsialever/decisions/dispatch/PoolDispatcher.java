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

    private final PoolQueue queue;
    private final Candidates candidates;
    private final ServiceTimes times = new ServiceTimes();
    private final SelectionCriteria criteria = new SelectionCriteria();
    private final InvariantMonitor invariants;
    private BalancingPolicy policy = BalancingPolicy.SCORED;
    private boolean removed;

    PoolDispatcher(DispatchSettings settings, RandomGenerator random, InvariantMonitor invariants) {
        this.queue = new PoolQueue(settings, random);
        this.candidates = new Candidates(random, settings.domain(), times);
        this.invariants = invariants;
    }

    PoolQueue queue() {
        return queue;
    }

    Candidates candidates() {
        return candidates;
    }

    ServiceTimes times() {
        return times;
    }

    void update(Pool pool, Map<TeamName, Integer> weights) {
        removed = false;
        candidates.update(pool.upstreams());
        weights.forEach((team, weight) -> queue.team(team).setWeight(weight));
        for (BalancingPolicy candidate : BalancingPolicy.values()) {
            if (candidate.pluginName().equals(pool.balancing())) {
                policy = candidate;
            }
        }
    }

    /** Marks the pool as removed from the table: running requests may finish, none is started. */
    void markRemoved() {
        removed = true;
        candidates.update(List.of());
    }

    boolean hasNoServingUpstream() {
        return removed || !candidates.hasServingUpstream();
    }

    /** Returns whether a new request would probably miss its deadline. */
    boolean wouldMissDeadline(DispatchRequest request, long nowNanos) {
        TeamShare share = queue.team(request.team());
        int ahead = share.countAhead(request.route().priority());
        double wait = ahead * times.averageNanos() / Math.max(1, share.running());
        return times.wouldMissDeadline(request, nowNanos + wait);
    }

    /** Returns whether a waiting request can no longer be completed in time. */
    boolean isTooLate(QueuedRequest queued, long nowNanos) {
        return times.wouldMissDeadline(queued.request(), nowNanos);
    }

    @Nullable QueuedRequest next(long nowNanos) {
        int free = candidates.freeSlots(nowNanos);
        boolean spare = free > candidates.countedSlots() * MIN_SPARE_SHARE;
        return queue.next(nowNanos, spare);
    }

    /** Selects an upstream and assigns the request to it; returns null if none is usable. */
    @Nullable UpstreamLoad assign(QueuedRequest queued, long nowNanos) {
        boolean hasQuota = queue.team(queued.request().team()).hasQuota();
        criteria.set(queued.request(), queued.failedUpstream(), hasQuota);
        int index = policy.choose(candidates, criteria, nowNanos);
        if (index < 0 && queued.failedUpstream() != null) {
            // The upstream that failed may be the only one left.
            criteria.set(queued.request(), null, hasQuota);
            index = policy.choose(candidates, criteria, nowNanos);
        }
        if (index < 0) {
            return null;
        }
        UpstreamLoad load = candidates.at(index);
        invariants.check(
                Invariant.LEAVING_UPSTREAM_IDLE,
                !load.isLeaving(),
                () -> load.spec().id() + " is leaving");
        double cost = expectedCost(queued.request());
        queued.start(load, cost);
        load.onSent(nowNanos);
        candidates.onAssigned();
        queue.team(queued.request().team()).onStarted(cost, nowNanos);
        if (queued.request().prefixHash() != 0) {
            candidates.cache().onStored(queued.request().prefixHash(), index);
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
        candidates.onReleased();
        boolean plain = queued.request().maxTokens() == 0;
        double cost = plain ? 1 : report.promptTokens() + report.generatedTokens();
        queue.team(queued.request().team()).onEnded(queued.chargedCost(), cost, nowNanos);
        switch (report.result()) {
            case COMPLETED -> {
                load.health().onSuccess(nowNanos);
                times.onCompleted(report);
            }
            case CANCELLED, NOT_ADMITTED -> {}
            default -> candidates.onFailure(load, nowNanos);
        }
        queued.stop();
    }

    private double expectedCost(DispatchRequest request) {
        return request.maxTokens() == 0
                ? 1
                : request.promptTokens() + times.expectedTokens(request.maxTokens());
    }
}
