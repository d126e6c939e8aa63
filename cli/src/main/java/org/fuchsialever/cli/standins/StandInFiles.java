package org.fuchsialever.cli.standins;

import java.nio.file.Path;
import org.fuchsialever.standins.ListedInstanceEntry;
import org.fuchsialever.standins.StandInEnvironment;
import org.fuchsialever.standins.StandInServer;

/** Generates tables and node settings that match a set of running stand-ins. */
public final class StandInFiles {
    /** The model of the engines. */
    public static final String MODEL = "small";

    static final int HTTP_PORT = 18_080;
    static final int PEER_PORT = 19_080;

    private final StandInEnvironment mEnvironment;
    private final int mEngines;
    private final int mPlainServices;
    private final int mFailureDomains;
    private final int mSlots;

    /**
     * Creates a generator.
     *
     * @param environment the running stand-ins
     * @param engines the number of engines, named {@code engine-1} and so on
     * @param plainServices the number of plain services, named {@code desk-1} and so on
     * @param failureDomains the number of failure domains
     * @param slots the number of slots of each engine
     */
    public StandInFiles(
            StandInEnvironment environment,
            int engines,
            int plainServices,
            int failureDomains,
            int slots) {
        mEnvironment = environment;
        mEngines = engines;
        mPlainServices = plainServices;
        mFailureDomains = failureDomains;
        mSlots = slots;
    }

    /** Returns a routes table in which all routes are open. */
    public String routes() {
        return """
        [route completions]
        path = /v1/completions
        kind = live
        pool = engines
        access = open

        [route chat]
        path = /v1/chat/completions
        kind = live
        pool = engines
        access = open

        [route desk]
        path = /desk
        kind = plain
        pool = desks
        access = open
        repeatable = no
        """;
    }

    /** Returns a routes table with routes of each kind; all but {@code /desk} require a key. */
    public String keyedRoutes() {
        return """
        [team alba]
        weight = 4

        [team bistra]
        weight = 2

        [team cerna]
        weight = 1

        [team tuning]
        weight = 2

        [route completions]
        path = /v1/completions
        kind = live
        pool = engines
        teams = all
        repeatable = yes
        deadline = 30 s

        [route chat]
        path = /v1/chat/completions
        kind = live
        pool = engines
        teams = alba, bistra, cerna
        repeatable = yes
        deadline = 30 s

        [route rollouts]
        path = /v1/rollouts
        kind = rollout
        pool = engines
        teams = tuning
        repeatable = yes
        deadline = 60 s
        body-limit = 1 MB
        priority = rollout

        # Bookings must not run twice.
        [route bookings]
        path = /booking/
        kind = plain
        pool = desks
        teams = alba, bistra, cerna
        repeatable = no
        deadline = 10 s

        [route stock]
        path = /stock/
        kind = plain
        pool = desks
        teams = all
        repeatable = yes
        deadline = 10 s

        [route desk]
        path = /desk
        kind = plain
        pool = desks
        access = open
        repeatable = no
        """;
    }

    /** Returns the pools table. */
    public String pools() {
        StringBuilder text = new StringBuilder();
        text.append("[pool engines]\nkind = engine\nmodel = ").append(MODEL).append("\n\n");
        text.append("[pool desks]\nkind = plain\n");
        for (int i = 1; i <= mEngines; i++) {
            upstream(text, "engine-" + i, "engines", i).append("slots = " + mSlots + "\n");
        }
        for (int i = 1; i <= mPlainServices; i++) {
            upstream(text, "desk-" + i, "desks", i);
        }
        return text.toString();
    }

    /**
     * Returns the settings of an instance that reads its tables from files.
     *
     * @param number the number of the instance, starting at 1
     * @param port the TCP port of its front end, 0 for any free one
     * @param folder the folder with the tables
     */
    public String nodeSettings(int number, int port, Path folder) {
        return """
        [node]
        name = node-%d
        region = region-1
        failure-domain = fd-%d
        components = identity, table-files, open-routes, dispatch, readiness, endpoints, front-end
        http-address = 127.0.0.1
        http-port = %d

        [tables]
        routes = %s
        pools = %s
        """
                .formatted(
                        number,
                        failureDomain(number),
                        port,
                        folder.resolve("routes.ini"),
                        folder.resolve("pools.ini"));
    }

    /**
     * Returns the settings of an instance that reads its tables and keys from the platform.
     *
     * @param number the number of the instance, starting at 1
     * @param httpPort the TCP port of its front end
     * @param peerPort the TCP port for other instances
     */
    public String platformNodeSettings(int number, int httpPort, int peerPort) {
        return """
        [node]
        name = node-%d
        region = region-1
        failure-domain = fd-%d
        http-address = 127.0.0.1
        http-port = %d
        peer-address = 127.0.0.1
        peer-port = %d

        [samples]
        version-interval = 250 ms

        """
                        .formatted(number, failureDomain(number), httpPort, peerPort)
                + platform();
    }

    /** Returns the section {@code [platform]} of node settings. */
    String platform() {
        return mEnvironment.platformSection();
    }

    /** Returns the entry of an instance for the instance list. */
    public ListedInstanceEntry instanceListEntry(int number, int httpPort, int peerPort) {
        return new ListedInstanceEntry(
                "node-" + number,
                StandInServer.HOST,
                httpPort,
                peerPort,
                "region-1",
                "fd-" + failureDomain(number),
                false);
    }

    private StringBuilder upstream(StringBuilder text, String name, String pool, int number) {
        return text.append(
                """

                [upstream %s]
                pool = %s
                address = %s
                port = %d
                failure-domain = fd-%d
                """
                        .formatted(
                                name,
                                pool,
                                StandInServer.HOST,
                                mEnvironment.find(name, StandInServer.class).port(),
                                failureDomain(number)));
    }

    private int failureDomain(int number) {
        return (number - 1) % mFailureDomains + 1;
    }
}
