package org.fuchsialever.decisions.dispatch;

import java.util.Locale;
import org.fuchsialever.kernel.plugin.Plugin;

/**
 * Selects the upstream for a request. {@link #SCORED} is meant for production; the others are
 * baselines for comparison. A selection allocates no memory.
 */
public enum BalancingPolicy implements Plugin {
    /** The first usable upstream from a random index on. */
    RANDOM {
        @Override
        int choose(Candidates candidates, SelectionCriteria criteria, long nowNanos) {
            int size = candidates.size();
            int start = size == 0 ? 0 : candidates.random().nextInt(size);
            return firstUsable(candidates, criteria, start, nowNanos);
        }
    },
    /** Each upstream in turn. */
    ROUND_ROBIN {
        @Override
        int choose(Candidates candidates, SelectionCriteria criteria, long nowNanos) {
            return firstUsable(candidates, criteria, candidates.advanceRoundRobin(), nowNanos);
        }
    },
    /** The upstream with the lowest reported load, regardless of the age of the report. */
    LEAST_REPORTED {
        @Override
        int choose(Candidates candidates, SelectionCriteria criteria, long nowNanos) {
            int best = NONE;
            for (int i = 0; i < candidates.size(); i++) {
                UpstreamLoad load = candidates.at(i);
                boolean better =
                        best == NONE || load.reportedBusy() < candidates.at(best).reportedBusy();
                if (better && isUsable(candidates, load, criteria, nowNanos)) {
                    best = i;
                }
            }
            return best;
        }
    },
    /** The one of two random upstreams with fewer requests in flight from this instance. */
    TWO_CHOICES {
        @Override
        int choose(Candidates candidates, SelectionCriteria criteria, long nowNanos) {
            int first = RANDOM.choose(candidates, criteria, nowNanos);
            int second = RANDOM.choose(candidates, criteria, nowNanos);
            if (first == NONE || second == NONE) {
                return first == NONE ? second : first;
            }
            boolean firstBetter =
                    candidates.at(first).inFlight() <= candidates.at(second).inFlight();
            return firstBetter ? first : second;
        }
    },
    /**
     * The lowest score, computed from load, cache affinity, locality and kind of capacity. Large
     * pools are sampled so that the cost of a selection does not grow with the pool.
     */
    SCORED {
        @Override
        int choose(Candidates candidates, SelectionCriteria criteria, long nowNanos) {
            int size = candidates.size();
            int best = NONE;
            double bestScore = Double.MAX_VALUE;
            int start = size == 0 ? 0 : candidates.random().nextInt(size);
            int sample = sampleSize(size);
            int step = sample == 0 ? 1 : size / sample;
            int index = start;
            for (int i = 0; i < sample; i++) {
                UpstreamLoad load = candidates.at(index);
                if (isUsable(candidates, load, criteria, nowNanos)) {
                    double score = score(candidates, criteria, index, nowNanos);
                    if (score < bestScore) {
                        best = index;
                        bestScore = score;
                    }
                }
                index += step;
                index = index >= size ? index - size : index;
            }
            best = betterCacheHolder(candidates, criteria, best, bestScore, nowNanos);
            return best != NONE || sample == size
                    ? best
                    : firstUsable(candidates, criteria, start, nowNanos);
        }
    };

    private static final int NONE = -1;
    private static final int MAX_FULLY_SCANNED_POOL = 16;
    private static final int MAX_MEDIUM_POOL = 200;
    private static final int MEDIUM_POOL_SAMPLE = 4;
    private static final int LARGE_POOL_SAMPLE = 2;
    private static final double MAX_AFFINITY_LOAD_RATIO = 1.25;
    private static final double MAX_MISS_PENALTY = 0.5;
    private static final double PROMPT_TOKENS_PER_SLOT = 4_000;
    private static final double OTHER_DOMAIN_PENALTY = 0.02;
    private static final double FAILED_DOMAIN_PENALTY = 0.5;
    private static final double LINEAR_LOAD_WEIGHT = 0.3;
    private static final double OVERLOAD_SLOPE = 5;
    private static final double CAPACITY_KIND_PENALTY = 0.2;

    /** Returns the index of the selected upstream, or -1 if none can accept the request. */
    abstract int choose(Candidates candidates, SelectionCriteria criteria, long nowNanos);

    @Override
    public String pluginName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static boolean isUsable(
            Candidates candidates, UpstreamLoad load, SelectionCriteria criteria, long nowNanos) {
        return !criteria.avoids(load)
                && load.canAccept(criteria.isWithinQuota(), candidates.average(), nowNanos);
    }

    private static int firstUsable(
            Candidates candidates, SelectionCriteria criteria, int start, long nowNanos) {
        int size = candidates.size();
        for (int i = 0; i < size; i++) {
            int index = start + i >= size ? start + i - size : start + i;
            if (isUsable(candidates, candidates.at(index), criteria, nowNanos)) {
                return index;
            }
        }
        return NONE;
    }

    /**
     * Returns the number of upstreams to compare. A larger pool is served by more instances, and
     * the more upstreams each of them compares by the same outdated reports, the more instances
     * choose the same one.
     */
    private static int sampleSize(int poolSize) {
        if (poolSize <= MAX_FULLY_SCANNED_POOL) {
            return poolSize;
        }
        return poolSize <= MAX_MEDIUM_POOL ? MEDIUM_POOL_SAMPLE : LARGE_POOL_SAMPLE;
    }

    /**
     * Limits the load that cache affinity can cause. Reports can be too old to show an overload, so
     * the limit is based on the requests of this instance, which are always known.
     */
    private static boolean isWithinAffinityLimit(Candidates candidates, UpstreamLoad holder) {
        double average = candidates.average().inFlight() + 1;
        return holder.inFlight() + 1 <= Math.ceil(MAX_AFFINITY_LOAD_RATIO * average);
    }

    private static int betterCacheHolder(
            Candidates candidates,
            SelectionCriteria criteria,
            int best,
            double bestScore,
            long nowNanos) {
        if (criteria.prefixHash() == 0) {
            return best;
        }
        int result = best;
        double score = bestScore;
        for (int i = 0; i < PrefixCacheView.MAX_HOLDERS; i++) {
            int holder = candidates.cache().holder(criteria.prefixHash(), i);
            if (holder >= 0
                    && holder < candidates.size()
                    && isWithinAffinityLimit(candidates, candidates.at(holder))
                    && isUsable(candidates, candidates.at(holder), criteria, nowNanos)) {
                double holderScore = score(candidates, criteria, holder, nowNanos);
                if (holderScore < score) {
                    result = holder;
                    score = holderScore;
                }
            }
        }
        return result;
    }

    /**
     * Maps load to a cost that rises slowly while slots are free and steeply when none is, because
     * only then does a request have to wait.
     */
    private static double congestion(double load) {
        double square = load * load;
        double steep = square * square * square;
        return load < 1
                ? LINEAR_LOAD_WEIGHT * load + (1 - LINEAR_LOAD_WEIGHT) * steep
                : 1 + OVERLOAD_SLOPE * (load - 1);
    }

    /**
     * Returns the cost of sending the request to an upstream; lower is better. The penalty for a
     * cache miss is at most half of an upstream's capacity, so that affinity cannot overload an
     * upstream.
     */
    private static double score(
            Candidates candidates, SelectionCriteria criteria, int index, long nowNanos) {
        UpstreamLoad load = candidates.at(index);
        double score = congestion(load.loadAfterOneMore(candidates.average(), nowNanos));
        if (criteria.prefixHash() != 0 && !candidates.cache().holds(criteria.prefixHash(), index)) {
            score += Math.min(MAX_MISS_PENALTY, criteria.promptTokens() / PROMPT_TOKENS_PER_SLOT);
        }
        if (!load.spec().domain().equals(candidates.ownDomain())) {
            score += OTHER_DOMAIN_PENALTY;
        }
        if (criteria.avoidsDomainOf(load)) {
            score += FAILED_DOMAIN_PENALTY;
        }
        boolean cheap =
                load.spec().capacity() == org.fuchsialever.decisions.config.CapacityKind.CHEAP;
        if (cheap != criteria.toleratesUpstreamLoss()) {
            score += CAPACITY_KIND_PENALTY;
        }
        return score;
    }
}
