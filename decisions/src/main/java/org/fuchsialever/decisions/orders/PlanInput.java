package org.fuchsialever.decisions.orders;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fuchsialever.decisions.config.CapacityKind;

/**
 * Input of the capacity planner.
 *
 * @param limits limits and prices of the pool
 * @param need need of the current demand
 * @param recentPeakNeed greatest need within the retention time of spare upstreams
 * @param upstreams the upstreams of the pool, including ordered ones that are not listed yet
 * @param unavailable placements without available capacity at present
 */
public record PlanInput(
        PlanLimits limits,
        CapacityNeed need,
        CapacityNeed recentPeakNeed,
        List<ObservedUpstream> upstreams,
        Set<CapacityPlacement> unavailable) {

    /** Copies the collections. */
    public PlanInput {
        upstreams = List.copyOf(upstreams);
        unavailable = Set.copyOf(unavailable);
    }

    /** Returns the number of starting and serving upstreams by placement. */
    public Map<CapacityPlacement, Integer> activeByPlacement() {
        Map<CapacityPlacement, Integer> counts = new TreeMap<>();
        for (ObservedUpstream upstream : upstreams) {
            if (upstream.state().countsAsCapacity()) {
                counts.merge(upstream.placement(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Returns the placements of a kind with available capacity, sorted by failure domain. */
    public List<CapacityPlacement> availablePlacements(CapacityKind kind) {
        return limits.domains().stream()
                .map(domain -> new CapacityPlacement(kind, domain))
                .filter(placement -> !unavailable.contains(placement))
                .sorted()
                .toList();
    }

    /** Returns the starting and serving upstreams in placements without available capacity. */
    Map<CapacityPlacement, Integer> activeInUnavailable() {
        Map<CapacityPlacement, Integer> held = activeByPlacement();
        held.keySet().retainAll(unavailable);
        return held;
    }

    int unavailableCount() {
        return activeInUnavailable().values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Returns whether a mix, together with the upstreams in unavailable placements, meets a need,
     * also after the loss of any one cheap failure domain.
     */
    boolean meets(OrderPolicy.Mix mix, CapacityNeed need) {
        int placementCount = availablePlacements(CapacityKind.CHEAP).size();
        if (placementCount == 0 && mix.cheap() > 0) {
            return mix.regular() + unavailableCount() >= need.total()
                    && meetsGuaranteed(mix.regular(), 0, need);
        }
        int largest = placementCount == 0 ? 0 : (mix.cheap() + placementCount - 1) / placementCount;
        int all = mix.regular() + mix.cheap();
        return all + unavailableCount() >= need.total() && meetsGuaranteed(all, largest, need);
    }

    private boolean meetsGuaranteed(int ordered, int largestPlacement, CapacityNeed need) {
        int largest = largestPlacement;
        for (Map.Entry<CapacityPlacement, Integer> entry : activeInUnavailable().entrySet()) {
            if (entry.getKey().kind() == CapacityKind.CHEAP) {
                largest = Math.max(largest, entry.getValue());
            }
        }
        return ordered + unavailableCount() - largest >= need.guaranteed();
    }
}
