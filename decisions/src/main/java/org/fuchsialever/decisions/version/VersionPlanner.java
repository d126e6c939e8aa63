package org.fuchsialever.decisions.version;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fuchsialever.decisions.fleet.FleetUpstream;

/**
 * Decides which upstreams load which weight version next. Each model is assigned an equal share of
 * the upstreams, because each load takes time and discards the upstream's prompt cache.
 */
public final class VersionPlanner {
    /** This many upstreams may always load at once, however few there are. */
    private static final int MIN_CONCURRENT_LOADS = 2;

    /** Loads slow down when more than about this share of the upstreams load at once. */
    private static final double MAX_LOADING_SHARE = 0.28;

    private VersionPlanner() {}

    /**
     * Assigns upstreams to models, preferably those that already serve the newest version.
     *
     * @param models the models of a service
     * @param upstreams the upstreams of the service that accept calls
     * @return the upstreams assigned to each model, at least one if there are any
     */
    public static Map<String, List<FleetUpstream>> assign(
            Collection<String> models, Collection<FleetUpstream> upstreams) {
        Map<String, List<FleetUpstream>> assigned = new TreeMap<>();
        models.forEach(model -> assigned.put(model, new ArrayList<>()));
        if (models.isEmpty() || upstreams.isEmpty()) {
            return assigned;
        }
        int rounds = Math.max(1, upstreams.size() / models.size());
        Set<String> taken = new HashSet<>();
        for (int round = 0; round < rounds; round++) {
            for (Map.Entry<String, List<FleetUpstream>> entry : assigned.entrySet()) {
                bestUpstream(entry.getKey(), entry.getValue(), upstreams, taken)
                        .forEach(
                                upstream -> {
                                    taken.add(upstream.id());
                                    entry.getValue().add(upstream);
                                });
            }
        }
        // With fewer upstreams than models, an upstream is assigned to several models.
        for (Map.Entry<String, List<FleetUpstream>> entry : assigned.entrySet()) {
            if (entry.getValue().isEmpty()) {
                bestUpstream(entry.getKey(), List.of(), upstreams, Set.of())
                        .forEach(entry.getValue()::add);
            }
        }
        return assigned;
    }

    /**
     * Returns the loads to order now. Upstreams that are too old for the trainer load first. Where
     * items may run under older versions, half of the upstreams of a model keep theirs until the
     * next one is announced, so that each loads only every second version and the others serve
     * meanwhile.
     *
     * @param assigned the upstreams assigned to each model
     * @param announced the newest announced version of each model
     * @param maxLag by how many versions an upstream may be behind for each model, 0 if absent
     * @param loading models being loaded, by the name of the upstream that loads
     * @param upstreams the number of upstreams of the service
     */
    public static List<VersionOrder> plan(
            Map<String, List<FleetUpstream>> assigned,
            Map<String, Long> announced,
            Map<String, Long> maxLag,
            Map<String, String> loading,
            int upstreams) {
        int remainingLoads =
                Math.max(MIN_CONCURRENT_LOADS, (int) Math.round(upstreams * MAX_LOADING_SHARE))
                        - loading.size();
        List<VersionOrder> orders = new ArrayList<>();
        Set<String> busy = new HashSet<>(loading.keySet());
        for (Map.Entry<String, List<FleetUpstream>> entry : assigned.entrySet()) {
            String model = entry.getKey();
            long version = announced.getOrDefault(model, 0L);
            long oldestAllowed = version - maxLag.getOrDefault(model, 0L);
            List<FleetUpstream> candidates =
                    entry.getValue().stream()
                            .filter(upstream -> upstream.versionOf(model) < version)
                            .sorted(
                                    Comparator.comparing(
                                            upstream -> upstream.versionOf(model) >= oldestAllowed))
                            .toList();
            int assignedCount = entry.getValue().size();
            long loadingOfModel = loading.values().stream().filter(model::equals).count();
            long newest = assignedCount - candidates.size() + loadingAmong(candidates, loading);
            // The other half continues to serve the previous version.
            long remainingForModel = Math.max(1, assignedCount / 2) - loadingOfModel;
            for (FleetUpstream upstream : candidates) {
                boolean needed =
                        upstream.versionOf(model) < oldestAllowed || newest < assignedCount / 2;
                if (needed
                        && remainingLoads > 0
                        && remainingForModel > 0
                        && busy.add(upstream.id())) {
                    orders.add(new VersionOrder(upstream, model, version));
                    remainingLoads--;
                    remainingForModel--;
                    newest++;
                }
            }
        }
        return orders;
    }

    private static long loadingAmong(List<FleetUpstream> upstreams, Map<String, String> loading) {
        return upstreams.stream().filter(upstream -> loading.containsKey(upstream.id())).count();
    }

    private static Option<FleetUpstream> bestUpstream(
            String model,
            List<FleetUpstream> chosen,
            Collection<FleetUpstream> upstreams,
            Set<String> taken) {
        Set<String> domains = new HashSet<>();
        chosen.forEach(upstream -> domains.add(upstream.failureDomain()));
        Comparator<FleetUpstream> order =
                Comparator.<FleetUpstream>comparingLong(upstream -> -upstream.versionOf(model))
                        .thenComparingLong(upstream -> versionsOfOthers(upstream, model))
                        .thenComparing(upstream -> domains.contains(upstream.failureDomain()))
                        .thenComparing(FleetUpstream::id);
        return Option.ofOptional(
                upstreams.stream().filter(upstream -> !taken.contains(upstream.id())).min(order));
    }

    private static long versionsOfOthers(FleetUpstream upstream, String model) {
        long sum = 0;
        for (Map.Entry<String, Long> entry : upstream.versions().entrySet()) {
            sum += entry.getKey().equals(model) ? 0 : entry.getValue();
        }
        return sum;
    }
}
