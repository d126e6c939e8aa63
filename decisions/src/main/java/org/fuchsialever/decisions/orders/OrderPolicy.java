package org.fuchsialever.decisions.orders;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.config.CapacityKind;

/** How many upstreams a pool is given, by place. */
public enum OrderPolicy {
    /** Always the maximum, on regular capacity. Baseline. */
    STATIC {
        @Override
        Map<CapacityPlacement, Integer> target(PlanInput input) {
            return spread(input, input.limits().maxUpstreams(), 0);
        }
    },
    /** Follows total demand on cheap capacity, without regard to failure domains. Baseline. */
    THRESHOLD {
        @Override
        Map<CapacityPlacement, Integer> target(PlanInput input) {
            boolean cheap = !input.availablePlacements(CapacityKind.CHEAP).isEmpty();
            int total = input.need().total();
            return cheap ? spread(input, 0, total) : spread(input, total, 0);
        }

        @Override
        CapacityNeed keptNeed(PlanInput input) {
            return new CapacityNeed(0, input.need().total());
        }
    },
    /** The cheapest mix that keeps the firm need when any one cheap failure domain is lost. */
    PLANNED {
        @Override
        Map<CapacityPlacement, Integer> target(PlanInput input) {
            CapacityNeed need = input.recentPeakNeed();
            int maximum = input.limits().maxUpstreams();
            Mix best = new Mix(maximum, 0);
            double bestPrice = Double.MAX_VALUE;
            int cheap = maximum;
            for (int regular = 0; regular <= need.total(); regular++) {
                // More regular upstreams never need more cheap ones, so one pass finds all pairs.
                while (cheap > 0 && input.meets(new Mix(regular, cheap - 1), need)) {
                    cheap--;
                }
                if (!input.meets(new Mix(regular, cheap), need)
                        || regular + cheap + input.held() > maximum) {
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
                best = new Mix(Math.max(0, Math.min(maximum - input.held(), need.total())), 0);
            }
            return spread(input, best.regular, best.cheap);
        }
    };

    /** Returns the number of upstreams to keep in each place. */
    abstract Map<CapacityPlacement, Integer> target(PlanInput input);

    /** Returns what must be served without an upstream before that one is stopped. */
    CapacityNeed keptNeed(PlanInput input) {
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
        // What runs where no more capacity can be had goes on running.
        input.heldPlaces().forEach(target::put);
        return target;
    }

    /** Spreads evenly; the places with more upstreams now get the remainder. */
    private static void spread(
            Map<CapacityPlacement, Integer> target,
            List<CapacityPlacement> places,
            Map<CapacityPlacement, Integer> kept,
            int count) {
        if (places.isEmpty()) {
            return;
        }
        List<CapacityPlacement> ordered =
                places.stream()
                        .sorted(
                                (a, b) ->
                                        Integer.compare(
                                                kept.getOrDefault(b, 0), kept.getOrDefault(a, 0)))
                        .toList();
        int remainder = count % places.size();
        for (int i = 0; i < ordered.size(); i++) {
            target.put(ordered.get(i), count / places.size() + (i < remainder ? 1 : 0));
        }
    }

    /**
     * Numbers of upstreams.
     *
     * @param regular regular ones
     * @param cheap cheap ones in places where capacity can be had
     */
    record Mix(int regular, int cheap) {}
}
