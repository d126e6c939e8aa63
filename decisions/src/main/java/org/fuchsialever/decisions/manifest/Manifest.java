package org.fuchsialever.decisions.manifest;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One version of what the operator declares. Immutable. */
public final class Manifest {
    private final long version;
    private final Map<String, List<ForwardRoute>> routesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Map<String, String> teamsByKey = new HashMap<>();
    private final RequestLimits limits;
    private final boolean keyed;

    /**
     * Creates a manifest.
     *
     * @param version grows with each change
     * @param routes the routes
     * @param services the services
     * @param teams the teams; if there are none, no call needs a key
     * @param limits bounds on what callers may send
     */
    public Manifest(
            long version,
            List<ForwardRoute> routes,
            List<ServiceSpec> services,
            List<TeamKeys> teams,
            RequestLimits limits) {
        this.version = version;
        this.limits = limits;
        this.keyed = !teams.isEmpty();
        for (ForwardRoute route : routes) {
            routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        // The longest prefix is looked at first.
        Comparator<ForwardRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
        teams.forEach(team -> team.keys().forEach(key -> teamsByKey.put(key, team.team())));
    }

    /** Returns the version. */
    public long version() {
        return version;
    }

    /** Returns the bounds on what callers may send. */
    public RequestLimits limits() {
        return limits;
    }

    /** Returns whether calls of routes that are not open need a key. */
    public boolean requiresKeys() {
        return keyed;
    }

    /** Returns the route with the longest prefix of the path. */
    public Option<ForwardRoute> route(String host, String path) {
        for (ForwardRoute route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Option.some(route);
            }
        }
        return Option.none();
    }

    /** Returns the team that holds a key. */
    public Option<String> teamOf(String key) {
        return Option.of(teamsByKey.get(key));
    }

    /** Returns a service. */
    public Option<ServiceSpec> service(String name) {
        return Option.of(services.get(name));
    }

    /** Returns all services. */
    public List<ServiceSpec> services() {
        return List.copyOf(services.values());
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the number of keys. */
    public int keyCount() {
        return teamsByKey.size();
    }
}
