package org.fuchsialever.decisions.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * Plans the capacity of a pool. A pure function.
 *
 * <p>An upstream is stopped only if those that serve without it meet the recent need, so capacity
 * that replaces it has started before.
 */
public final class CapacityPlanner {

    private CapacityPlanner() {}

    /** Returns the orders that bring a pool from its present state towards its target. */
    public static CapacityPlan plan(PlanInput input, OrderPolicy policy) {
        Map<CapacityPlacement, Integer> target = policy.target(input);
        Map<CapacityPlacement, Integer> kept = input.activeByPlacement();
        int total = kept.values().stream().mapToInt(Integer::intValue).sum();
        List<CapacityPlacement> starts = new ArrayList<>();
        target.forEach(
                (place, wanted) -> {
                    for (int i = kept.getOrDefault(place, 0); i < wanted; i++) {
                        starts.add(place);
                    }
                });
        int room = Math.max(0, input.limits().maxUpstreams() - total);
        List<UpstreamId> stops = stops(input, target, policy.keptNeed(input));
        if (starts.size() <= room) {
            return new CapacityPlan(starts, stops);
        }
        // At the maximum, a stop in one place has to make room for a start in another one.
        List<UpstreamId> forced =
                stops.isEmpty() && room == 0 ? oneSurplus(input, target, kept) : stops;
        return new CapacityPlan(starts.subList(0, room), forced);
    }

    private static List<UpstreamId> stops(
            PlanInput input, Map<CapacityPlacement, Integer> target, CapacityNeed need) {
        Map<CapacityPlacement, Integer> serving = serving(input);
        Map<CapacityPlacement, Integer> left = input.activeByPlacement();
        List<UpstreamId> stops = new ArrayList<>();
        for (ObservedUpstream upstream : stopOrder(input)) {
            CapacityPlacement place = upstream.placement();
            if (left.getOrDefault(place, 0) <= target.getOrDefault(place, 0)) {
                continue;
            }
            if (upstream.state().isServing()) {
                Map<CapacityPlacement, Integer> without = new TreeMap<>(serving);
                without.merge(place, -1, Integer::sum);
                if (!meets(without, need)) {
                    continue;
                }
                serving = without;
            }
            left.merge(place, -1, Integer::sum);
            stops.add(upstream.id());
        }
        return stops;
    }

    private static List<UpstreamId> oneSurplus(
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

    /** Upstreams that do not serve yet are stopped first, and regular ones before cheap ones. */
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

    /** Returns whether a capacity meets a need, also after the loss of one cheap domain. */
    static boolean meets(Map<CapacityPlacement, Integer> serving, CapacityNeed need) {
        int total = 0;
        int greatestCheap = 0;
        for (Map.Entry<CapacityPlacement, Integer> entry : serving.entrySet()) {
            total += entry.getValue();
            if (entry.getKey().kind() == CapacityKind.CHEAP) {
                greatestCheap = Math.max(greatestCheap, entry.getValue());
            }
        }
        return total >= need.total() && total - greatestCheap >= need.guaranteed();
    }
}
