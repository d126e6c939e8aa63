package org.fuchsialever.decisions.config;

import java.time.Duration;
import java.util.Set;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;

/**
 * One row of the route table.
 *
 * @param name its name
 * @param path the path that callers use; a trailing {@code /} matches everything below
 * @param kind what it serves
 * @param pool the pool that serves it
 * @param access who may call it
 * @param teams the teams that may call a keyed route
 * @param repeatable whether a request may be sent to an upstream more than once
 * @param priority the priority class of its requests
 * @param deadline how long a request may take in all
 * @param bodyLimitBytes the largest request body in bytes
 */
public record Route(
        RouteName name,
        String path,
        RouteKind kind,
        PoolName pool,
        Access access,
        Set<TeamName> teams,
        boolean repeatable,
        Priority priority,
        Duration deadline,
        long bodyLimitBytes) {

    /** Copies the teams. */
    public Route {
        teams = Set.copyOf(teams);
    }

    /** Returns whether a caller of the given team may use this route. */
    public boolean allows(TeamName team) {
        return access == Access.OPEN || teams.contains(team);
    }

    /** Returns whether a request path belongs to this route. */
    public boolean matches(String requestPath) {
        return path.endsWith("/") ? requestPath.startsWith(path) : requestPath.equals(path);
    }
}
