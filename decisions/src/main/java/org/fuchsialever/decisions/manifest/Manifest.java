package org.fuchsialever.decisions.manifest;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One version of the operator's declarations. Immutable. */
public final class Manifest {
    private final long mVersion;
    private final Map<String, List<ForwardRoute>> mRoutesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> mServices = new HashMap<>();
    private final Map<String, String> mTeamsByKey = new HashMap<>();
    private final Map<String, Integer> mTeamPriorities = new HashMap<>();
    private final RequestLimits mLimits;
    private final boolean mKeysRequired;

    /**
     * Creates a manifest.
     *
     * @param version version, which increases with each change
     * @param routes the routes, in any order
     * @param services the services that routes refer to by name
     * @param teams the teams with their keys; if empty, no call needs a key
     * @param limits limits on requests and connections of callers
     */
    public Manifest(
            long version,
            List<ForwardRoute> routes,
            List<ServiceSpec> services,
            List<TeamKeys> teams,
            RequestLimits limits) {
        mVersion = version;
        mLimits = limits;
        mKeysRequired = !teams.isEmpty();
        for (ForwardRoute route : routes) {
            mRoutesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        // Longest prefix first, so that the first match is the most specific.
        Comparator<ForwardRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        mRoutesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> mServices.put(service.name(), service));
        teams.forEach(team -> team.keys().forEach(key -> mTeamsByKey.put(key, team.team())));
        teams.stream()
                .filter(team -> team.priority() >= 0)
                .forEach(team -> mTeamPriorities.put(team.team(), team.priority()));
    }

    /** Returns the version. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits on requests and connections of callers. */
    public RequestLimits limits() {
        return mLimits;
    }

    /** Returns whether calls need a key, except on open routes. */
    public boolean requiresKeys() {
        return mKeysRequired;
    }

    /** Returns the route of a host whose prefix is the longest one that matches the path. */
    public Option<ForwardRoute> route(String host, String path) {
        for (ForwardRoute route : mRoutesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Option.some(route);
            }
        }
        return Option.none();
    }

    /**
     * Returns the route of an item: the rollout route of its own path or else the route of its
     * submission. Routes for calls of other kinds do not run items.
     *
     * @param host the host of the submission
     * @param itemPath the path of the item
     * @param submissionPath the path of the request that submitted it
     */
    public Option<ForwardRoute> itemRoute(String host, String itemPath, String submissionPath) {
        return route(host, itemPath)
                .filter(route -> route.kind() == RequestKind.ROLLOUT)
                .orElse(() -> route(host, submissionPath));
    }

    /** Returns the team that a key belongs to. */
    public Option<String> teamOf(String key) {
        return Option.of(mTeamsByKey.get(key));
    }

    /** Returns the rank of a team's calls on a route, 0 is the most urgent. */
    public int rank(ForwardRoute route, String team) {
        return mTeamPriorities.getOrDefault(team, route.priority());
    }

    /** Returns a service by its name. */
    public Option<ServiceSpec> service(String name) {
        return Option.of(mServices.get(name));
    }

    /** Returns all services. */
    public List<ServiceSpec> services() {
        return List.copyOf(mServices.values());
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return mRoutesByHost.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the number of keys. */
    public int keyCount() {
        return mTeamsByKey.size();
    }
}
