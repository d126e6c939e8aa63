package org.fuchsialever.decisions.dispatch;

import java.util.Locale;
import org.fuchsialever.kernel.plugin.Plugin;

/**
 * How an upstream is chosen. {@link #SCORED} is the one to use; the others are baselines for
 * comparison. Returns -1 if no upstream can take the request. Choosing allocates nothing.
 */
public enum BalancingPolicy implements Plugin {
    /** Any upstream that has room. */
    RANDOM {
        @Override
        int choose(Candidates candidates, SelectionCriteria choice, long nowNanos) {
            int size = candidates.size();
            int start = size == 0 ? 0 : candidates.random().nextInt(size);
            return firstUsable(candidates, choice, start, nowNanos);
        }
    },
    /** Each upstream in turn. */
    ROUND_ROBIN {
        @Override
        int choose(Candidates candidates, SelectionCriteria choice, long nowNanos) {
            return firstUsable(candidates, choice, candidates.advanceRoundRobin(), nowNanos);
        }
    },
    /** The upstream with the least reported load, however old the report is. */
    LEAST_REPORTED {
        @Override
        int choose(Candidates candidates, SelectionCriteria choice, long nowNanos) {
            int best = NONE;
            for (int i = 0; i < candidates.size(); i++) {
                UpstreamLoad load = candidates.at(i);
                boolean better =
                        best == NONE || load.reportedBusy() < candidates.at(best).reportedBusy();
                if (better && isUsable(candidates, load, choice, nowNanos)) {
                    best = i;
                }
            }
            return best;
        }
    },
    /** The better of two random upstreams by requests in flight from this instance. */
    TWO_CHOICES {
        @Override
        int choose(Candidates candidates, SelectionCriteria choice, long nowNanos) {
            int first = RANDOM.choose(candidates, choice, nowNanos);
            int second = RANDOM.choose(candidates, choice, nowNanos);
            if (first == NONE || second == NONE) {
                return first == NONE ? second : first;
            }
            boolean firstBetter =
                    candidates.at(first).inFlight() <= candidates.at(second).inFlight();
            return firstBetter ? first : second;
        }
    },
    /**
     * The least score of load, cache miss, locality and kind of capacity. Large pools are sampled,
     * so that the cost of a choice does not grow with the pool.
     */
    SCORED {
        @Override
        int choose(Candidates candidates, SelectionCriteria choice, long nowNanos) {
            int size = candidates.size();
            int best = NONE;
            double bestScore = Double.MAX_VALUE;
            int start = size == 0 ? 0 : candidates.random().nextInt(size);
            int sample = sampleSize(size);
            int step = sample == 0 ? 1 : size / sample;
            int index = start;
            for (int i = 0; i < sample; i++) {
                UpstreamLoad load = candidates.at(index);
                if (isUsable(candidates, load, choice, nowNanos)) {
                    double score = score(candidates, choice, index, nowNanos);
                    if (score < bestScore) {
                        best = index;
                        bestScore = score;
                    }
                }
                index += step;
                index = index >= size ? index - size : index;
            }
            best = betterCacheHolder(candidates, choice, best, bestScore, nowNanos);
            return best != NONE || sample == size
                    ? best
                    : firstUsable(candidates, choice, start, nowNanos);
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

    abstract int choose(Candidates candidates, SelectionCriteria choice, long nowNanos);

    @Override
    public String pluginName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static boolean isUsable(
            Candidates candidates, UpstreamLoad load, SelectionCriteria choice, long nowNanos) {
        return !choice.avoids(load)
                && load.canAccept(choice.isWithinQuota(), candidates.average(), nowNanos);
    }

    private static int firstUsable(
            Candidates candidates, SelectionCriteria choice, int start, long nowNanos) {
        int size = candidates.size();
        for (int i = 0; i < size; i++) {
            int index = start + i >= size ? start + i - size : start + i;
            if (isUsable(candidates, candidates.at(index), choice, nowNanos)) {
                return index;
            }
        }
        return NONE;
    }

    /**
     * Returns how many upstreams are compared. A larger pool has more instances in front of it, and
     * the more upstreams each compares by the same old reports, the more of them choose the same.
     */
    private static int sampleSize(int poolSize) {
        if (poolSize <= MAX_FULLY_SCANNED_POOL) {
            return poolSize;
        }
        return poolSize <= MAX_MEDIUM_POOL ? MEDIUM_POOL_SAMPLE : LARGE_POOL_SAMPLE;
    }

    /**
     * Bounds the load that affinity may bring: reports can be too old to show that an upstream is
     * overloaded, but the requests of this instance are always known.
     */
    private static boolean isWithinAffinityLimit(Candidates candidates, UpstreamLoad holder) {
        double average = candidates.average().inFlight() + 1;
        return holder.inFlight() + 1 <= Math.ceil(MAX_AFFINITY_LOAD_RATIO * average);
    }

    private static int betterCacheHolder(
            Candidates candidates,
            SelectionCriteria choice,
            int best,
            double bestScore,
            long nowNanos) {
        if (choice.prefixHash() == 0) {
            return best;
        }
        int result = best;
        double score = bestScore;
        for (int i = 0; i < PrefixCacheView.MAX_HOLDERS; i++) {
            int holder = candidates.cache().holder(choice.prefixHash(), i);
            if (holder >= 0
                    && holder < candidates.size()
                    && isWithinAffinityLimit(candidates, candidates.at(holder))
                    && isUsable(candidates, candidates.at(holder), choice, nowNanos)) {
                double holderScore = score(candidates, choice, holder, nowNanos);
                if (holderScore < score) {
                    result = holder;
                    score = holderScore;
                }
            }
        }
        return result;
    }

    /**
     * Load hardly matters while slots are free and very much when none is, because only then does a
     * request wait.
     */
    private static double congestion(double load) {
        double square = load * load;
        double steep = square * square * square;
        return load < 1
                ? LINEAR_LOAD_WEIGHT * load + (1 - LINEAR_LOAD_WEIGHT) * steep
                : 1 + OVERLOAD_SLOPE * (load - 1);
    }

    /**
     * Lower is better. The penalty of a cache miss is bounded by half a slot of load, so that
     * affinity cannot overload an upstream.
     */
    private static double score(
            Candidates candidates, SelectionCriteria choice, int index, long nowNanos) {
        UpstreamLoad load = candidates.at(index);
        double score = congestion(load.loadAfterOneMore(candidates.average(), nowNanos));
        if (choice.prefixHash() != 0 && !candidates.cache().holds(choice.prefixHash(), index)) {
            score += Math.min(MAX_MISS_PENALTY, choice.promptTokens() / PROMPT_TOKENS_PER_SLOT);
        }
        if (!load.spec().domain().equals(candidates.ownDomain())) {
            score += OTHER_DOMAIN_PENALTY;
        }
        if (choice.avoidsDomainOf(load)) {
            score += FAILED_DOMAIN_PENALTY;
        }
        boolean cheap =
                load.spec().capacity() == org.fuchsialever.decisions.config.CapacityKind.CHEAP;
        if (cheap != choice.toleratesUpstreamLoss()) {
            score += CAPACITY_KIND_PENALTY;
        }
        return score;
    }
}
