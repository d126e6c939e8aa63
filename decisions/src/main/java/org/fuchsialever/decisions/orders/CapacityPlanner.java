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
        Map<Place, Integer> target = policy.target(input);
        Map<Place, Integer> kept = input.kept();
        int total = kept.values().stream().mapToInt(Integer::intValue).sum();
        List<Place> starts = new ArrayList<>();
        target.forEach(
                (place, wanted) -> {
                    for (int i = kept.getOrDefault(place, 0); i < wanted; i++) {
                        starts.add(place);
                    }
                });
        int room = Math.max(0, input.limits().maximum() - total);
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
            PlanInput input, Map<Place, Integer> target, CapacityNeed need) {
        Map<Place, Integer> serving = serving(input);
        Map<Place, Integer> left = input.kept();
        List<UpstreamId> stops = new ArrayList<>();
        for (ObservedUpstream upstream : stopOrder(input)) {
            Place place = upstream.place();
            if (left.getOrDefault(place, 0) <= target.getOrDefault(place, 0)) {
                continue;
            }
            if (upstream.state().serves()) {
                Map<Place, Integer> without = new TreeMap<>(serving);
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
            PlanInput input, Map<Place, Integer> target, Map<Place, Integer> kept) {
        return stopOrder(input).stream()
                .filter(
                        upstream ->
                                kept.getOrDefault(upstream.place(), 0)
                                        > target.getOrDefault(upstream.place(), 0))
                .map(ObservedUpstream::id)
                .limit(1)
                .toList();
    }

    /** Upstreams that do not serve yet are stopped first, and regular ones before cheap ones. */
    private static List<ObservedUpstream> stopOrder(PlanInput input) {
        return input.upstreams().stream()
                .filter(upstream -> upstream.state().counts())
                .sorted(
                        Comparator.comparing((ObservedUpstream u) -> u.state().serves())
                                .thenComparing(u -> u.place().kind())
                                .thenComparing(ObservedUpstream::id, Comparator.reverseOrder()))
                .toList();
    }

    private static Map<Place, Integer> serving(PlanInput input) {
        Map<Place, Integer> counts = new TreeMap<>();
        for (ObservedUpstream upstream : input.upstreams()) {
            if (upstream.state().serves()) {
                counts.merge(upstream.place(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Returns whether a capacity meets a need, also after the loss of one cheap domain. */
    static boolean meets(Map<Place, Integer> serving, CapacityNeed need) {
        int total = 0;
        int greatestCheap = 0;
        for (Map.Entry<Place, Integer> entry : serving.entrySet()) {
            total += entry.getValue();
            if (entry.getKey().kind() == CapacityKind.CHEAP) {
                greatestCheap = Math.max(greatestCheap, entry.getValue());
            }
        }
        return total >= need.total() && total - greatestCheap >= need.firm();
    }
}
