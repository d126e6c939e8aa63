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
 * Decides which upstreams load which weight version next. Each model gets an equal part of the
 * upstreams as homes, because each load costs time and discards what an upstream has read.
 */
public final class VersionPlanner {
    /** At least this many upstreams may load at once. */
    private static final int LEAST_AT_ONCE = 2;

    /** A load slows down while more than about this share of the upstreams load. */
    private static final double SHARE_AT_ONCE = 0.28;

    private VersionPlanner() {}

    /**
     * Assigns homes to models.
     *
     * @param models the models of a service
     * @param upstreams the upstreams of the service that take calls
     * @return the homes of each model
     */
    public static Map<String, List<FleetUpstream>> assign(
            Collection<String> models, Collection<FleetUpstream> upstreams) {
        Map<String, List<FleetUpstream>> homes = new TreeMap<>();
        models.forEach(model -> homes.put(model, new ArrayList<>()));
        if (models.isEmpty() || upstreams.isEmpty()) {
            return homes;
        }
        int rounds = Math.max(1, upstreams.size() / models.size());
        Set<String> taken = new HashSet<>();
        for (int round = 0; round < rounds; round++) {
            for (Map.Entry<String, List<FleetUpstream>> entry : homes.entrySet()) {
                best(entry.getKey(), entry.getValue(), upstreams, taken)
                        .forEach(
                                upstream -> {
                                    taken.add(upstream.id());
                                    entry.getValue().add(upstream);
                                });
            }
        }
        // With fewer upstreams than models, upstreams are the home of several models.
        for (Map.Entry<String, List<FleetUpstream>> entry : homes.entrySet()) {
            if (entry.getValue().isEmpty()) {
                best(entry.getKey(), List.of(), upstreams, Set.of()).forEach(entry.getValue()::add);
            }
        }
        return homes;
    }

    /**
     * Returns the loads to order now. Homes that are too old for the trainer load first. Where
     * items may run under older versions, half of the homes keep theirs until the next one is
     * named, so that each of them loads only every second version and the others serve meanwhile.
     *
     * @param homes the homes of each model
     * @param named the newest version of each model
     * @param tolerated by how many versions a home may be behind for each model, 0 if not told
     * @param loading names of the upstreams that are loading, with the model that they load
     * @param upstreams the number of upstreams of the service
     */
    public static List<VersionOrder> plan(
            Map<String, List<FleetUpstream>> homes,
            Map<String, Long> named,
            Map<String, Long> tolerated,
            Map<String, String> loading,
            int upstreams) {
        int room =
                Math.max(LEAST_AT_ONCE, (int) Math.round(upstreams * SHARE_AT_ONCE))
                        - loading.size();
        List<VersionOrder> orders = new ArrayList<>();
        Set<String> busy = new HashSet<>(loading.keySet());
        for (Map.Entry<String, List<FleetUpstream>> entry : homes.entrySet()) {
            String model = entry.getKey();
            long version = named.getOrDefault(model, 0L);
            long oldest = version - tolerated.getOrDefault(model, 0L);
            List<FleetUpstream> candidates =
                    entry.getValue().stream()
                            .filter(upstream -> upstream.versionOf(model) < version)
                            .sorted(
                                    Comparator.comparing(
                                            upstream -> upstream.versionOf(model) >= oldest))
                            .toList();
            int homesOfModel = entry.getValue().size();
            long ofModel = loading.values().stream().filter(model::equals).count();
            long newest = homesOfModel - candidates.size() + loadingAmong(candidates, loading);
            // Half of the homes go on with the version before.
            long most = Math.max(1, homesOfModel / 2) - ofModel;
            for (FleetUpstream upstream : candidates) {
                boolean needed = upstream.versionOf(model) < oldest || newest < homesOfModel / 2;
                if (needed && room > 0 && most > 0 && busy.add(upstream.id())) {
                    orders.add(new VersionOrder(upstream, model, version));
                    room--;
                    most--;
                    newest++;
                }
            }
        }
        return orders;
    }

    private static long loadingAmong(List<FleetUpstream> upstreams, Map<String, String> loading) {
        return upstreams.stream().filter(upstream -> loading.containsKey(upstream.id())).count();
    }

    private static Option<FleetUpstream> best(
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
