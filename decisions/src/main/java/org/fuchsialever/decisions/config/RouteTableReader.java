package org.fuchsialever.decisions.config;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.kernel.settings.SettingsReader;

/** Reads the sections of the route table. */
final class RouteTableReader {
    private static final String MSG_UNKNOWN_TEAM = "route.unknown-team";
    private static final String MSG_NO_TEAM = "route.no-team";
    private static final String MSG_TEAMS_ON_OPEN_ROUTE = "route.teams-on-open-route";
    private static final String MSG_BAD_PATH = "route.bad-path";
    private static final String ALL_TEAMS = "all";
    private static final int MAX_WEIGHT = 1_000;
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(60);
    private static final long DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024;

    private final SettingsReader mReader;
    private final TableSections mSections;

    RouteTableReader(SettingsReader reader) {
        mReader = reader;
        mSections = new TableSections(reader);
    }

    Map<TeamName, Integer> readTeams() {
        Map<TeamName, Integer> teams = new TreeMap<>();
        for (String name : mSections.sectionNames("team")) {
            int weight = (int) mReader.integer("team " + name, "weight", 1, 1, MAX_WEIGHT);
            teams.put(new TeamName(name), weight);
        }
        return teams;
    }

    Map<RouteName, Route> readRoutes(Set<TeamName> knownTeams) {
        Map<RouteName, Route> routes = new TreeMap<>();
        for (String name : mSections.sectionNames("route")) {
            readRoute(name, knownTeams).forEach(route -> routes.put(route.name(), route));
        }
        return routes;
    }

    private Option<Route> readRoute(String name, Set<TeamName> knownTeams) {
        String section = "route " + name;
        String path = readPath(section);
        RouteKind kind = mReader.choice(section, "kind", RouteKind.class, RouteKind.LIVE);
        Option<String> pool = mSections.requiredName(section, "pool");
        Access access = mReader.choice(section, "access", Access.class, Access.KEYED);
        Set<TeamName> teams = readRouteTeams(section, access, knownTeams);
        YesNo repeatable = mReader.choice(section, "repeatable", YesNo.class, YesNo.NO);
        Priority usual = kind == RouteKind.ROLLOUT ? Priority.ROLLOUT : Priority.LIVE;
        Priority priority = mReader.choice(section, "priority", Priority.class, usual);
        Duration deadline = mReader.duration(section, "deadline", DEFAULT_DEADLINE);
        long bodyLimit = mReader.size(section, "body-limit", DEFAULT_BODY_LIMIT_BYTES);
        return pool.map(
                poolName ->
                        new Route(
                                new RouteName(name),
                                path,
                                kind,
                                new PoolName(poolName),
                                access,
                                teams,
                                repeatable.isYes(),
                                priority,
                                deadline,
                                bodyLimit));
    }

    private String readPath(String section) {
        String path = mReader.requiredText(section, "path");
        if (!path.isEmpty() && !path.startsWith("/")) {
            mReader.findings()
                    .error(
                            mReader.location(section, "path"),
                            MSG_BAD_PATH,
                            "\"%s\" must begin with /",
                            path);
        }
        return path;
    }

    private Set<TeamName> readRouteTeams(String section, Access access, Set<TeamName> knownTeams) {
        List<String> names = mReader.list(section, "teams", List.of());
        if (access == Access.OPEN) {
            if (!names.isEmpty()) {
                mReader.findings()
                        .error(
                                mReader.location(section, "teams"),
                                MSG_TEAMS_ON_OPEN_ROUTE,
                                "an open route cannot be limited to teams");
            }
            return Set.of();
        }
        if (names.equals(List.of(ALL_TEAMS))) {
            return knownTeams;
        }
        Set<TeamName> teams = new HashSet<>();
        for (String name : names) {
            knownTeams.stream().filter(team -> team.value().equals(name)).forEach(teams::add);
            if (knownTeams.stream().noneMatch(team -> team.value().equals(name))) {
                mReader.findings()
                        .error(
                                mReader.location(section, "teams"),
                                MSG_UNKNOWN_TEAM,
                                "team \"%s\" does not exist; known teams are %s",
                                name,
                                knownTeams);
            }
        }
        if (names.isEmpty()) {
            mReader.findings()
                    .error(
                            mReader.location(section, "teams"),
                            MSG_NO_TEAM,
                            "a keyed route needs teams, or \"%s\"",
                            ALL_TEAMS);
        }
        return teams;
    }

    private enum YesNo {
        YES,
        NO;

        boolean isYes() {
            return this == YES;
        }
    }
}
