package org.fuchsialever.decisions.orders;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.config.CapacityKind;

/** Determines the target number of upstreams of a pool for each placement. */
public enum OrderPolicy {
    /** Always the maximum, on regular capacity. Baseline. */
    STATIC {
        @Override
        Map<CapacityPlacement, Integer> target(PlanInput input) {
            return spread(input, input.limits().maxUpstreams(), 0);
        }
    },
    /** Follows total demand with cheap capacity, regardless of failure domains. Baseline. */
    THRESHOLD {
        @Override
        Map<CapacityPlacement, Integer> target(PlanInput input) {
            boolean cheap = !input.availablePlacements(CapacityKind.CHEAP).isEmpty();
            int total = input.need().total();
            return cheap ? spread(input, 0, total) : spread(input, total, 0);
        }

        @Override
        CapacityNeed retainedNeed(PlanInput input) {
            return new CapacityNeed(0, input.need().total());
        }
    },
    /**
     * The cheapest mix that still meets the guaranteed need after the loss of any one cheap failure
     * domain.
     */
    PLANNED {
        @Override
        Map<CapacityPlacement, Integer> target(PlanInput input) {
            CapacityNeed need = input.recentPeakNeed();
            int maximum = input.limits().maxUpstreams();
            Mix best = new Mix(maximum, 0);
            double bestPrice = Double.MAX_VALUE;
            int cheap = maximum;
            for (int regular = 0; regular <= need.total(); regular++) {
                // With more regular upstreams never more cheap ones are needed, so one pass finds
                // all pairs.
                while (cheap > 0 && input.meets(new Mix(regular, cheap - 1), need)) {
                    cheap--;
                }
                if (!input.meets(new Mix(regular, cheap), need)
                        || regular + cheap + input.unavailableCount() > maximum) {
                    continue;
                }
                double price =
                        regular * input.limits().regularPrice()
                                + cheap * input.limits().cheapPrice();
                if (price < bestPrice) {
                    bestPrice = price;
                    best = new Mix(regular, cheap);
                }
            }
            if (bestPrice == Double.MAX_VALUE) {
                best =
                        new Mix(
                                Math.max(
                                        0,
                                        Math.min(maximum - input.unavailableCount(), need.total())),
                                0);
            }
            return spread(input, best.regular, best.cheap);
        }
    };

    /** Returns the target number of upstreams for each placement. */
    abstract Map<CapacityPlacement, Integer> target(PlanInput input);

    /** Returns the need that the remaining upstreams must meet before an upstream is stopped. */
    CapacityNeed retainedNeed(PlanInput input) {
        return input.recentPeakNeed();
    }

    private static Map<CapacityPlacement, Integer> spread(PlanInput input, int regular, int cheap) {
        Map<CapacityPlacement, Integer> target = new TreeMap<>();
        spread(
                target,
                input.availablePlacements(CapacityKind.REGULAR),
                input.activeByPlacement(),
                regular);
        spread(
                target,
                input.availablePlacements(CapacityKind.CHEAP),
                input.activeByPlacement(),
                cheap);
        // Upstreams in placements without available capacity keep running.
        input.activeInUnavailable().forEach(target::put);
        return target;
    }

    /** Spreads evenly; the placements with the most upstreams at present get the remainder. */
    private static void spread(
            Map<CapacityPlacement, Integer> target,
            List<CapacityPlacement> placements,
            Map<CapacityPlacement, Integer> kept,
            int count) {
        if (placements.isEmpty()) {
            return;
        }
        List<CapacityPlacement> ordered =
                placements.stream()
                        .sorted(
                                (a, b) ->
                                        Integer.compare(
                                                kept.getOrDefault(b, 0), kept.getOrDefault(a, 0)))
                        .toList();
        int remainder = count % placements.size();
        for (int i = 0; i < ordered.size(); i++) {
            target.put(ordered.get(i), count / placements.size() + (i < remainder ? 1 : 0));
        }
    }

    /**
     * Number of upstreams of each kind.
     *
     * @param regular number of regular upstreams
     * @param cheap number of cheap upstreams in placements with available capacity
     */
    record Mix(int regular, int cheap) {}
}
