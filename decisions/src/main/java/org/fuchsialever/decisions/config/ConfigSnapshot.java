package org.fuchsialever.decisions.config;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;

/**
 * Route table and pool table at one version. Immutable.
 *
 * @param version a higher version is newer
 * @param teamWeights weight of each team in fair sharing
 */
public record ConfigSnapshot(
        long version,
        Map<RouteName, Route> routes,
        Map<PoolName, Pool> pools,
        Map<TeamName, Integer> teamWeights) {

    /** Copies the maps. */
    public ConfigSnapshot {
        routes = Map.copyOf(routes);
        pools = Map.copyOf(pools);
        teamWeights = Map.copyOf(teamWeights);
    }

    /** Returns the route with the longest path that matches a request path. */
    public Option<Route> routeFor(String requestPath) {
        List<Route> matching =
                routes.values().stream()
                        .filter(route -> route.matches(requestPath))
                        .sorted(
                                Comparator.comparingInt((Route route) -> route.path().length())
                                        .reversed())
                        .toList();
        return matching.isEmpty() ? Option.none() : Option.some(matching.get(0));
    }

    /** Returns the same tables with another version. */
    public ConfigSnapshot withVersion(long newVersion) {
        return new ConfigSnapshot(newVersion, routes, pools, teamWeights);
    }
}
