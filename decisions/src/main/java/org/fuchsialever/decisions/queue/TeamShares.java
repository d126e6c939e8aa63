package org.fuchsialever.decisions.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The waiting calls of one rank and stage, divided between teams by weighted fair queueing: each
 * team has a tag that advances with the cost of its calls, and a virtual time advances as the tag
 * of a team that gets exactly its share. Single writer.
 *
 * @param <T> the calls
 */
final class TeamShares<T> {
    /** Keeps a team whose open work is almost all elsewhere from standing still here. */
    private static final double MIN_WEIGHT = 0.05;

    private static final double COST_SMOOTHING = 0.05;

    private final Map<FlowKey, TreeMap<QueuePlace, T>> mFlows = new HashMap<>();
    private final Map<String, Double> mTags = new HashMap<>();
    private final Map<String, Integer> mWaiting = new HashMap<>();
    private double mVirtualTime;
    private double mMeanCost;

    boolean isEmpty() {
        return mFlows.isEmpty();
    }

    void add(T call, QueuePlace place) {
        mMeanCost =
                mMeanCost == 0
                        ? place.cost()
                        : mMeanCost + COST_SMOOTHING * (place.cost() - mMeanCost);
        mFlows.computeIfAbsent(FlowKey.of(place), key -> new TreeMap<>(QueuePlace.BY_ORDER))
                .put(place, call);
        if (mWaiting.merge(place.team(), 1, Integer::sum) == 1) {
            // A team that had nothing to run gets no credit for that time.
            mTags.merge(place.team(), mVirtualTime, Math::max);
        }
    }

    void remove(QueuePlace place) {
        FlowKey key = FlowKey.of(place);
        TreeMap<QueuePlace, T> flow = mFlows.get(key);
        if (flow != null && flow.remove(place) != null) {
            if (flow.isEmpty()) {
                mFlows.remove(key);
            }
            mWaiting.computeIfPresent(place.team(), (team, count) -> count > 1 ? count - 1 : null);
            mTags.entrySet()
                    .removeIf(
                            entry ->
                                    entry.getValue() <= mVirtualTime
                                            && !mWaiting.containsKey(entry.getKey()));
        }
    }

    boolean mayFindRoom(Set<Object> withoutRoom) {
        return mFlows.keySet().stream().anyMatch(flow -> !withoutRoom.contains(flow.room));
    }

    /**
     * Returns the call that gets the next slot.
     *
     * @param withoutRoom what calls require that find no room
     * @param slots number of calls by which a team may be ahead of its share or behind it while due
     *     times decide
     */
    @Nullable T next(Set<Object> withoutRoom, int slots, Map<String, Double> weights) {
        double burst = Math.max(1, slots) * mMeanCost;
        T best = null;
        Standing bestStanding = null;
        for (Map.Entry<FlowKey, TreeMap<QueuePlace, T>> flow : mFlows.entrySet()) {
            if (withoutRoom.contains(flow.getKey().room)) {
                continue;
            }
            Map.Entry<QueuePlace, T> head = flow.getValue().firstEntry();
            Standing standing = standing(head.getKey(), burst, weights);
            if (bestStanding == null || Standing.ORDER.compare(standing, bestStanding) < 0) {
                best = head.getValue();
                bestStanding = standing;
            }
        }
        return best;
    }

    /** Counts the cost of a call that was started against the share of its team. */
    void charge(String team, double cost, Map<String, Double> weights) {
        double weight = weight(team, weights);
        double active = mWaiting.containsKey(team) ? 0 : weight;
        for (String waiting : mWaiting.keySet()) {
            active += weight(waiting, weights);
        }
        mTags.put(team, mTags.getOrDefault(team, mVirtualTime) + cost / weight);
        mVirtualTime += cost / active;
    }

    /** Returns the cost by which a team is ahead of its share, negative if it is behind. */
    double lead(String team, Map<String, Double> weights) {
        return (mTags.getOrDefault(team, mVirtualTime) - mVirtualTime) * weight(team, weights);
    }

    private Standing standing(QueuePlace place, double burst, Map<String, Double> weights) {
        double lead = lead(place.team(), weights);
        int band = lead < -burst ? -1 : lead > burst ? 1 : 0;
        return new Standing(band, band == 0 ? 0 : lead, place);
    }

    private static double weight(String team, Map<String, Double> weights) {
        return Math.max(MIN_WEIGHT, weights.getOrDefault(team, 1.0));
    }

    private record FlowKey(String team, int stage, Object room) {
        static FlowKey of(QueuePlace place) {
            return new FlowKey(place.team(), place.stage(), place.room());
        }
    }

    /** Teams far behind their share go first, and those far ahead of it last. */
    private record Standing(int band, double lead, QueuePlace place) {
        static final Comparator<Standing> ORDER =
                Comparator.comparingInt(Standing::band)
                        .thenComparingDouble(Standing::lead)
                        .thenComparing(Standing::place, QueuePlace.BY_ORDER);
    }
}
