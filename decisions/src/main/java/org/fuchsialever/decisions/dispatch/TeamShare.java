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

    private final TeamName team;
    private final PriorityQueue<QueuedRequest> live = new PriorityQueue<>(BY_URGENCY);
    private final PriorityQueue<QueuedRequest> rollouts = new PriorityQueue<>(BY_URGENCY);
    private final DecayingSum ownCost;
    private final DecayingSum virtualTimeOffset;
    private final Map<String, RemoteShare> remotes = new HashMap<>();
    private final long halfLifeNanos;
    private int weight = 1;
    private int running;
    private double runningCost;
    private double quota = Double.MAX_VALUE;

    TeamShare(TeamName team, long halfLifeNanos) {
        this.team = team;
        this.halfLifeNanos = halfLifeNanos;
        this.ownCost = new DecayingSum(halfLifeNanos);
        this.virtualTimeOffset = new DecayingSum(halfLifeNanos);
    }

    TeamName team() {
        return team;
    }

    int weight() {
        return weight;
    }

    void setWeight(int newWeight) {
        weight = newWeight;
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
        QueuedRequest rollout = rollouts.peek();
        if (rollout != null && nowNanos - rollout.queuedAt() > ageingNanos) {
            return rollout;
        }
        return live.isEmpty() ? rollout : live.peek();
    }

    int waiting() {
        return live.size() + rollouts.size();
    }

    /** Returns how many queued requests would be served before a new one of the given priority. */
    int countAhead(Priority priority) {
        return priority == Priority.LIVE ? live.size() : waiting();
    }

    Iterable<QueuedRequest> queued() {
        return io.vavr.collection.List.ofAll(live).appendAll(rollouts);
    }

    /** Charges the expected cost of a request that starts. */
    void onStarted(double expectedCost, long nowNanos) {
        running++;
        runningCost += expectedCost;
        ownCost.add(expectedCost, nowNanos);
    }

    /** Corrects the charge of a request that has ended to its actual cost. */
    void onEnded(double expectedCost, double realCost, long nowNanos) {
        running--;
        runningCost -= expectedCost;
        ownCost.add(realCost - expectedCost, nowNanos);
    }

    int running() {
        return running;
    }

    int demand() {
        return waiting() + running;
    }

    double quota() {
        return quota;
    }

    /** Returns whether capacity is contended and the team runs fewer requests than its quota. */
    boolean hasQuota() {
        return quota != Double.MAX_VALUE && running < quota;
    }

    void setQuota(double newQuota) {
        quota = newQuota;
    }

    double ownCost(long nowNanos) {
        return ownCost.at(nowNanos);
    }

    void onRemote(String instance, double cost, int demand, long nowNanos) {
        RemoteShare remote = remotes.computeIfAbsent(instance, i -> new RemoteShare(halfLifeNanos));
        remote.cost.set(cost, nowNanos);
        remote.demand = demand;
        remote.receivedAt = nowNanos;
    }

    void removeRemotesBefore(long nanos) {
        remotes.values().removeIf(remote -> remote.receivedAt < nanos);
    }

    int remoteDemand() {
        int sum = 0;
        for (RemoteShare remote : remotes.values()) {
            sum += remote.demand;
        }
        return sum;
    }

    /**
     * Returns the virtual time of the team: the cost served by all instances divided by its weight.
     */
    double virtualTime(long nowNanos) {
        double cost = ownCost.at(nowNanos) + virtualTimeOffset.at(nowNanos);
        for (RemoteShare remote : remotes.values()) {
            cost += remote.cost.at(nowNanos);
        }
        return cost / weight;
    }

    /** Returns the virtual time without the charges of the running requests. */
    double virtualStartTime(long nowNanos) {
        return virtualTime(nowNanos) - runningCost / weight;
    }

    /** Raises the virtual time to that of the active teams, so that idle time earns no credit. */
    void raiseVirtualTimeTo(double virtualTime, long nowNanos) {
        double deficit = virtualTime - virtualTime(nowNanos);
        if (deficit > 0) {
            virtualTimeOffset.add(deficit * weight, nowNanos);
        }
    }

    private PriorityQueue<QueuedRequest> queueOf(QueuedRequest queued) {
        return queued.request().route().priority() == Priority.LIVE ? live : rollouts;
    }

    private static final class RemoteShare {
        private final DecayingSum cost;
        private int demand;
        private long receivedAt;

        private RemoteShare(long halfLifeNanos) {
            cost = new DecayingSum(halfLifeNanos);
        }
    }
}
