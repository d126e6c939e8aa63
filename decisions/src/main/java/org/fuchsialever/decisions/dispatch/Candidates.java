package org.fuchsialever.decisions.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;
import org.jspecify.annotations.Nullable;

/** The upstreams of one pool from which a balancing policy selects. */
final class Candidates {
    /** Limits ejection so that half of the pool stays in use however many upstreams fail. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    private static final long MIN_RECOUNT_INTERVAL_NANOS = 20_000_000;

    /** Limits the cost of counting to about 0.1% of a core, regardless of the size of the pool. */
    private static final long RECOUNT_INTERVAL_NANOS_PER_UPSTREAM = 33_000;

    private final Map<UpstreamId, UpstreamLoad> byId = new HashMap<>();
    private final PrefixCacheView cache = new PrefixCacheView();
    private final RandomGenerator random;
    private final FailureDomain ownDomain;
    private final ServiceTimes times;
    private final PoolAverage average = new PoolAverage();
    private UpstreamLoad[] loads = new UpstreamLoad[0];
    private long lastCountAt = -1;
    private int countedSlots;
    private int countedFree;
    private int roundRobinIndex;

    Candidates(RandomGenerator random, FailureDomain ownDomain, ServiceTimes times) {
        this.random = random;
        this.ownDomain = ownDomain;
        this.times = times;
    }

    /** Applies the rows of the pool table; the state of upstreams that remain is kept. */
    void update(List<UpstreamSpec> specs) {
        byId.values().forEach(UpstreamLoad::markRemoved);
        List<UpstreamLoad> serving = new ArrayList<>();
        for (UpstreamSpec spec : specs) {
            UpstreamLoad load = byId.computeIfAbsent(spec.id(), id -> new UpstreamLoad(spec));
            load.update(spec);
            serving.add(load);
        }
        byId.values().removeIf(load -> load.inFlight() == 0 && !serving.contains(load));
        UpstreamLoad[] updated = serving.toArray(new UpstreamLoad[0]);
        if (!sameOrder(updated)) {
            cache.clear();
        }
        loads = updated;
        lastCountAt = -1;
    }

    @Nullable UpstreamLoad find(UpstreamId id) {
        return byId.get(id);
    }

    int size() {
        return loads.length;
    }

    UpstreamLoad at(int index) {
        return loads[index];
    }

    PrefixCacheView cache() {
        return cache;
    }

    RandomGenerator random() {
        return random;
    }

    FailureDomain ownDomain() {
        return ownDomain;
    }

    int advanceRoundRobin() {
        roundRobinIndex = roundRobinIndex + 1 >= loads.length ? 0 : roundRobinIndex + 1;
        return roundRobinIndex;
    }

    int indexOf(UpstreamId id) {
        for (int i = 0; i < loads.length; i++) {
            if (loads[i].spec().id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns whether any upstream is not leaving, including upstreams that are ejected. */
    boolean hasServingUpstream() {
        for (UpstreamLoad load : loads) {
            if (!load.isLeaving()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of slots of all upstreams that are neither leaving nor ejected. */
    int countSlots(long nowNanos) {
        int slots = 0;
        for (UpstreamLoad load : loads) {
            if (!load.isLeaving() && !load.health().isEjected(nowNanos)) {
                slots += load.spec().slots();
            }
        }
        return slots;
    }

    /**
     * Returns the estimated number of free slots. Counting takes a pass over the pool, so the count
     * is refreshed at intervals and in between adjusted by the attempts that this instance starts
     * and ends.
     */
    int freeSlots(long nowNanos) {
        long interval =
                Math.max(
                        MIN_RECOUNT_INTERVAL_NANOS,
                        RECOUNT_INTERVAL_NANOS_PER_UPSTREAM * loads.length);
        if (nowNanos - lastCountAt >= interval || lastCountAt < 0) {
            lastCountAt = nowNanos;
            updateAverage();
            countedSlots = countSlots(nowNanos);
            countedFree = countFree(nowNanos);
        }
        return countedFree;
    }

    PoolAverage average() {
        return average;
    }

    /** Returns the number of slots at the last count; see {@link #countSlots}. */
    int countedSlots() {
        return countedSlots;
    }

    void onAssigned() {
        countedFree--;
    }

    void onReleased() {
        countedFree++;
    }

    private void updateAverage() {
        double busy = 0;
        double inFlight = 0;
        int counted = 0;
        for (UpstreamLoad load : loads) {
            if (!load.isLeaving()) {
                busy += Math.max(load.inFlight(), load.reportedBusy());
                inFlight += load.inFlight();
                counted++;
            }
        }
        int divisor = Math.max(1, counted);
        average.set(busy / divisor, inFlight / divisor, times.averageNanos());
    }

    private int countFree(long nowNanos) {
        int free = 0;
        for (UpstreamLoad load : loads) {
            if (!load.isLeaving() && !load.health().isEjected(nowNanos)) {
                double busy = load.estimatedBusy(average, nowNanos);
                free += (int) Math.max(0, load.spec().slots() - busy);
            }
        }
        return free;
    }

    void onFailure(UpstreamLoad load, long nowNanos) {
        if (load.health().onFailure() && mayEject(nowNanos)) {
            load.health().eject(nowNanos);
        }
    }

    /** Ejects an upstream that did not respond on a new connection either. */
    void onUnreachable(UpstreamLoad load, long nowNanos) {
        if (!load.health().isEjected(nowNanos) && mayEject(nowNanos)) {
            load.health().eject(nowNanos);
        }
    }

    private boolean mayEject(long nowNanos) {
        int ejected = 0;
        for (UpstreamLoad load : loads) {
            if (load.health().isEjected(nowNanos)) {
                ejected++;
            }
        }
        return ejected + 1 <= loads.length * MAX_EJECTED_SHARE;
    }

    private boolean sameOrder(UpstreamLoad[] updated) {
        return java.util.Arrays.equals(loads, updated);
    }
}
