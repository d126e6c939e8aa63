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

    private final Map<UpstreamId, UpstreamLoad> mById = new HashMap<>();
    private final PrefixCacheView mCache = new PrefixCacheView();
    private final RandomGenerator mRandom;
    private final FailureDomain mOwnDomain;
    private final ServiceTimes mTimes;
    private final PoolAverage mAverage = new PoolAverage();
    private UpstreamLoad[] mLoads = new UpstreamLoad[0];
    private long mLastCountAt = -1;
    private int mCountedSlots;
    private int mCountedFree;
    private int mRoundRobinIndex;

    Candidates(RandomGenerator random, FailureDomain ownDomain, ServiceTimes times) {
        mRandom = random;
        mOwnDomain = ownDomain;
        mTimes = times;
    }

    /** Applies the rows of the pool table; the state of upstreams that remain is kept. */
    void update(List<UpstreamSpec> specs) {
        mById.values().forEach(UpstreamLoad::markRemoved);
        List<UpstreamLoad> serving = new ArrayList<>();
        for (UpstreamSpec spec : specs) {
            UpstreamLoad load = mById.computeIfAbsent(spec.id(), id -> new UpstreamLoad(spec));
            load.update(spec);
            serving.add(load);
        }
        mById.values().removeIf(load -> load.inFlight() == 0 && !serving.contains(load));
        UpstreamLoad[] updated = serving.toArray(new UpstreamLoad[0]);
        if (!sameOrder(updated)) {
            mCache.clear();
        }
        mLoads = updated;
        mLastCountAt = -1;
    }

    @Nullable UpstreamLoad find(UpstreamId id) {
        return mById.get(id);
    }

    int size() {
        return mLoads.length;
    }

    UpstreamLoad at(int index) {
        return mLoads[index];
    }

    PrefixCacheView cache() {
        return mCache;
    }

    RandomGenerator random() {
        return mRandom;
    }

    FailureDomain ownDomain() {
        return mOwnDomain;
    }

    int advanceRoundRobin() {
        mRoundRobinIndex = mRoundRobinIndex + 1 >= mLoads.length ? 0 : mRoundRobinIndex + 1;
        return mRoundRobinIndex;
    }

    int indexOf(UpstreamId id) {
        for (int i = 0; i < mLoads.length; i++) {
            if (mLoads[i].spec().id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns whether any upstream is not leaving, including upstreams that are ejected. */
    boolean hasServingUpstream() {
        for (UpstreamLoad load : mLoads) {
            if (!load.isLeaving()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of slots of all upstreams that are neither leaving nor ejected. */
    int countSlots(long nowNanos) {
        int slots = 0;
        for (UpstreamLoad load : mLoads) {
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
                        RECOUNT_INTERVAL_NANOS_PER_UPSTREAM * mLoads.length);
        if (nowNanos - mLastCountAt >= interval || mLastCountAt < 0) {
            mLastCountAt = nowNanos;
            updateAverage();
            mCountedSlots = countSlots(nowNanos);
            mCountedFree = countFree(nowNanos);
        }
        return mCountedFree;
    }

    PoolAverage average() {
        return mAverage;
    }

    /** Returns the number of slots at the last count; see {@link #countSlots}. */
    int countedSlots() {
        return mCountedSlots;
    }

    void onAssigned() {
        mCountedFree--;
    }

    void onReleased() {
        mCountedFree++;
    }

    private void updateAverage() {
        double busy = 0;
        double inFlight = 0;
        int counted = 0;
        for (UpstreamLoad load : mLoads) {
            if (!load.isLeaving()) {
                busy += Math.max(load.inFlight(), load.reportedBusy());
                inFlight += load.inFlight();
                counted++;
            }
        }
        int divisor = Math.max(1, counted);
        mAverage.set(busy / divisor, inFlight / divisor, mTimes.averageNanos());
    }

    private int countFree(long nowNanos) {
        int free = 0;
        for (UpstreamLoad load : mLoads) {
            if (!load.isLeaving() && !load.health().isEjected(nowNanos)) {
                double busy = load.estimatedBusy(mAverage, nowNanos);
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
        for (UpstreamLoad load : mLoads) {
            if (load.health().isEjected(nowNanos)) {
                ejected++;
            }
        }
        return ejected + 1 <= mLoads.length * MAX_EJECTED_SHARE;
    }

    private boolean sameOrder(UpstreamLoad[] updated) {
        return java.util.Arrays.equals(mLoads, updated);
    }
}
