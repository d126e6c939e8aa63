package org.fuchsialever.decisions.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * Plans the capacity of a pool; stateless and without I/O.
 *
 * <p>An upstream is stopped only if the remaining serving upstreams meet the recent peak need, so
 * its replacement is already serving.
 */
public final class CapacityPlanner {

    private CapacityPlanner() {}

    /** Returns the orders that bring a pool from its current state towards its target. */
    public static CapacityPlan plan(PlanInput input, OrderPolicy policy) {
        Map<CapacityPlacement, Integer> target = policy.target(input);
        Map<CapacityPlacement, Integer> kept = input.activeByPlacement();
        int total = kept.values().stream().mapToInt(Integer::intValue).sum();
        List<CapacityPlacement> starts = new ArrayList<>();
        target.forEach(
                (placement, wanted) -> {
                    for (int i = kept.getOrDefault(placement, 0); i < wanted; i++) {
                        starts.add(placement);
                    }
                });
        int room = Math.max(0, input.limits().maxUpstreams() - total);
        List<UpstreamId> stops = selectStops(input, target, policy.retainedNeed(input));
        if (starts.size() <= room) {
            return new CapacityPlan(starts, stops);
        }
        // At the maximum, a stop in one placement has to make room for a start in another one.
        List<UpstreamId> forced =
                stops.isEmpty() && room == 0 ? selectOneSurplus(input, target, kept) : stops;
        return new CapacityPlan(starts.subList(0, room), forced);
    }

    private static List<UpstreamId> selectStops(
            PlanInput input, Map<CapacityPlacement, Integer> target, CapacityNeed need) {
        Map<CapacityPlacement, Integer> serving = serving(input);
        Map<CapacityPlacement, Integer> remaining = input.activeByPlacement();
        List<UpstreamId> stops = new ArrayList<>();
        for (ObservedUpstream upstream : stopOrder(input)) {
            CapacityPlacement placement = upstream.placement();
            if (remaining.getOrDefault(placement, 0) <= target.getOrDefault(placement, 0)) {
                continue;
            }
            if (upstream.state().isServing()) {
                Map<CapacityPlacement, Integer> without = new TreeMap<>(serving);
                without.merge(placement, -1, Integer::sum);
                if (!meets(without, need)) {
                    continue;
                }
                serving = without;
            }
            remaining.merge(placement, -1, Integer::sum);
            stops.add(upstream.id());
        }
        return stops;
    }

    private static List<UpstreamId> selectOneSurplus(
            PlanInput input,
            Map<CapacityPlacement, Integer> target,
            Map<CapacityPlacement, Integer> kept) {
        return stopOrder(input).stream()
                .filter(
                        upstream ->
                                kept.getOrDefault(upstream.placement(), 0)
                                        > target.getOrDefault(upstream.placement(), 0))
                .map(ObservedUpstream::id)
                .limit(1)
                .toList();
    }

    /**
     * Upstreams that are not serving yet are stopped first, then regular ones before cheap ones.
     */
    private static List<ObservedUpstream> stopOrder(PlanInput input) {
        return input.upstreams().stream()
                .filter(upstream -> upstream.state().countsAsCapacity())
                .sorted(
                        Comparator.comparing((ObservedUpstream u) -> u.state().isServing())
                                .thenComparing(u -> u.placement().kind())
                                .thenComparing(ObservedUpstream::id, Comparator.reverseOrder()))
                .toList();
    }

    private static Map<CapacityPlacement, Integer> serving(PlanInput input) {
        Map<CapacityPlacement, Integer> counts = new TreeMap<>();
        for (ObservedUpstream upstream : input.upstreams()) {
            if (upstream.state().isServing()) {
                counts.merge(upstream.placement(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * Returns whether the capacity meets the need, also after the loss of any one cheap failure
     * domain.
     */
    static boolean meets(Map<CapacityPlacement, Integer> serving, CapacityNeed need) {
        int total = 0;
        int largestCheap = 0;
        for (Map.Entry<CapacityPlacement, Integer> entry : serving.entrySet()) {
            total += entry.getValue();
            if (entry.getKey().kind() == CapacityKind.CHEAP) {
                largestCheap = Math.max(largestCheap, entry.getValue());
            }
        }
        return total >= need.total() && total - largestCheap >= need.guaranteed();
    }
}
