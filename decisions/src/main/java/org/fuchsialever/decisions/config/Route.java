package org.fuchsialever.decisions.config;

import java.time.Duration;
import java.util.Set;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;

/**
 * A route of the route table.
 *
 * @param path request path; a trailing {@code /} matches all paths below it
 * @param teams teams that may call a keyed route
 * @param repeatable whether a request may be sent to an upstream more than once
 * @param deadline total time that a request may take
 * @param bodyLimitBytes maximum size of a request body in bytes
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
