package org.fuchsialever.decisions.orders;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fuchsialever.decisions.config.CapacityKind;

/**
 * What a plan is made from.
 *
 * @param limits limits and prices of the pool
 * @param need what the present demand needs
 * @param recentPeakNeed the greatest need while spare upstreams are kept
 * @param upstreams the upstreams of the pool, including those that are being ordered
 * @param unavailable places in which no capacity can be had now
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

    /** Returns the number of upstreams that are kept, by place. */
    public Map<CapacityPlacement, Integer> activeByPlacement() {
        Map<CapacityPlacement, Integer> counts = new TreeMap<>();
        for (ObservedUpstream upstream : upstreams) {
            if (upstream.state().countsAsCapacity()) {
                counts.merge(upstream.placement(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Returns the places of a kind in which capacity can be had, in order of their names. */
    public List<CapacityPlacement> availablePlacements(CapacityKind kind) {
        return limits.domains().stream()
                .map(domain -> new CapacityPlacement(kind, domain))
                .filter(place -> !unavailable.contains(place))
                .sorted()
                .toList();
    }

    /** Returns the upstreams that are kept in places where no more can be had. */
    Map<CapacityPlacement, Integer> heldPlaces() {
        Map<CapacityPlacement, Integer> held = activeByPlacement();
        held.keySet().retainAll(unavailable);
        return held;
    }

    int held() {
        return heldPlaces().values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Returns whether a mix with what is held meets a need, also after one cheap domain is lost.
     */
    boolean meets(OrderPolicy.Mix mix, CapacityNeed need) {
        int places = availablePlacements(CapacityKind.CHEAP).size();
        if (places == 0 && mix.cheap() > 0) {
            return mix.regular() + held() >= need.total() && firmWith(mix.regular(), 0, need);
        }
        int greatest = places == 0 ? 0 : (mix.cheap() + places - 1) / places;
        int all = mix.regular() + mix.cheap();
        return all + held() >= need.total() && firmWith(all, greatest, need);
    }

    private boolean firmWith(int ordered, int greatestPlace, CapacityNeed need) {
        int greatest = greatestPlace;
        for (Map.Entry<CapacityPlacement, Integer> entry : heldPlaces().entrySet()) {
            if (entry.getKey().kind() == CapacityKind.CHEAP) {
                greatest = Math.max(greatest, entry.getValue());
            }
        }
        return ordered + held() - greatest >= need.guaranteed();
    }
}
