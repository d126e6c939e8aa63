package org.fuchsialever.decisions.config;

import io.vavr.control.Option;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.findings.Location;
import org.fuchsialever.kernel.settings.IniDocument;
import org.fuchsialever.kernel.settings.SettingsReader;

/** Parses the route table and the pool table into one snapshot and cross-checks them. */
public final class TableParser {
    private static final String MSG_UNKNOWN_POOL = "route.unknown-pool";
    private static final String MSG_KIND_MISMATCH = "route.kind-mismatch";
    private static final String MSG_SAME_PATH = "route.same-path";
    private static final String MSG_UNUSED_POOL = "pool.unused";
    private static final String MSG_NO_UPSTREAM = "pool.no-upstream";

    private final Findings mFindings;
    private final Map<RouteName, Route> mRoutes = new TreeMap<>();
    private final Map<PoolName, Pool> mPools = new TreeMap<>();
    private final Map<TeamName, Integer> mTeams = new TreeMap<>();

    private TableParser(Findings findings) {
        mFindings = findings;
    }

    /**
     * Parses and checks both tables.
     *
     * @param version version of the resulting snapshot
     * @param routesFile file name of the route table, for findings
     * @param routesText content of the route table
     * @param poolsFile file name of the pool table, for findings
     * @param poolsText content of the pool table
     * @param findings receives all errors and warnings
     * @return the snapshot, or none if there are errors
     */
    public static Option<ConfigSnapshot> parse(
            long version,
            String routesFile,
            String routesText,
            String poolsFile,
            String poolsText,
            Findings findings) {
        Findings own = new Findings();
        IniDocument routeTable = IniDocument.parse(routesFile, routesText, own);
        IniDocument poolTable = IniDocument.parse(poolsFile, poolsText, own);
        TableParser parser = new TableParser(own);
        parser.readPools(poolTable);
        parser.readRoutes(routeTable);
        parser.checkTogether(routeTable, poolTable);
        findings.addAll(own);
        if (own.hasErrors()) {
            return Option.none();
        }
        return Option.some(
                new ConfigSnapshot(version, parser.mRoutes, parser.mPools, parser.mTeams));
    }

    private void readPools(IniDocument table) {
        SettingsReader reader = new SettingsReader(table, mFindings);
        PoolTableReader poolReader = new PoolTableReader(reader);
        mPools.putAll(poolReader.read());
        reader.reportUnknownKeys();
    }

    private void readRoutes(IniDocument table) {
        SettingsReader reader = new SettingsReader(table, mFindings);
        RouteTableReader routeReader = new RouteTableReader(reader);
        mTeams.putAll(routeReader.readTeams());
        mRoutes.putAll(routeReader.readRoutes(mTeams.keySet()));
        reader.reportUnknownKeys();
    }

    private void checkTogether(IniDocument routeTable, IniDocument poolTable) {
        Map<String, RouteName> paths = new TreeMap<>();
        for (Route route : mRoutes.values()) {
            Location location = routeTable.location("route " + route.name(), "pool");
            Pool pool = mPools.get(route.pool());
            if (pool == null) {
                mFindings.error(
                        location,
                        MSG_UNKNOWN_POOL,
                        "pool \"%s\" does not exist; known pools are %s",
                        route.pool(),
                        mPools.keySet());
            } else if (pool.kind() != route.kind().upstreamKind()) {
                mFindings.error(
                        location,
                        MSG_KIND_MISMATCH,
                        "a %s route needs a pool of kind %s, but \"%s\" is of kind %s",
                        SettingsReader.label(route.kind()),
                        SettingsReader.label(route.kind().upstreamKind()),
                        route.pool(),
                        SettingsReader.label(pool.kind()));
            }
            RouteName earlier = paths.putIfAbsent(route.path(), route.name());
            if (earlier != null) {
                mFindings.error(
                        routeTable.location("route " + route.name(), "path"),
                        MSG_SAME_PATH,
                        "route \"%s\" has the same path",
                        earlier);
            }
        }
        for (Pool pool : mPools.values()) {
            checkPool(pool, poolTable.location("pool " + pool.name()));
        }
    }

    private void checkPool(Pool pool, Location location) {
        if (mRoutes.values().stream().noneMatch(route -> route.pool().equals(pool.name()))) {
            mFindings.warning(location, MSG_UNUSED_POOL, "no route uses this pool");
        }
        if (pool.upstreams().isEmpty() && pool.maximum() == 0) {
            mFindings.error(
                    location,
                    MSG_NO_UPSTREAM,
                    "the pool has no upstream and may not order any (maximum is 0)");
        }
    }
}
