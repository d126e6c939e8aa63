package org.fuchsialever.cli.standins;

import java.nio.file.Path;
import org.fuchsialever.standins.ListedInstanceEntry;
import org.fuchsialever.standins.StandInServer;
import org.fuchsialever.standins.StandInWorld;

/** Tables and node settings that match a set of running stand-ins. */
final class StandInFiles {
    static final String MODEL = "small";

    private static final int HTTP_PORT = 18_080;
    private static final int PEER_PORT = 19_080;

    private final StandInWorld world;
    private final int engines;
    private final int plainServices;
    private final int domains;
    private final int slots;

    StandInFiles(StandInWorld world, int engines, int plainServices, int domains, int slots) {
        this.world = world;
        this.engines = engines;
        this.plainServices = plainServices;
        this.domains = domains;
        this.slots = slots;
    }

    String routes() {
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

    String pools() {
        StringBuilder text = new StringBuilder();
        text.append("[pool engines]\nkind = engine\nmodel = ").append(MODEL).append("\n\n");
        text.append("[pool desks]\nkind = plain\n");
        for (int i = 1; i <= engines; i++) {
            upstream(text, "engine-" + i, "engines", i).append("slots = " + slots + "\n");
        }
        for (int i = 1; i <= plainServices; i++) {
            upstream(text, "desk-" + i, "desks", i);
        }
        return text.toString();
    }

    /** Returns settings of an instance that takes its tables from the files in the folder. */
    String node(int number, Path folder) {
        return """
        [node]
        name = node-%d
        region = region-1
        failure-domain = fd-%d
        http-address = 127.0.0.1
        http-port = %d

        [tables]
        routes = %s
        pools = %s
        """
                .formatted(
                        number,
                        domain(number),
                        HTTP_PORT + number,
                        folder.resolve("routes.ini"),
                        folder.resolve("pools.ini"));
    }

    /** Returns the settings to add for an instance that selects the component {@code platform}. */
    String platform() {
        return world.platformSection();
    }

    /** Returns the entry of an instance for the instance list. */
    ListedInstanceEntry listed(int number) {
        return new ListedInstanceEntry(
                "node-" + number,
                StandInServer.HOST,
                HTTP_PORT + number,
                PEER_PORT + number,
                "region-1",
                "fd-" + domain(number),
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
                                world.find(name, StandInServer.class).port(),
                                domain(number)));
    }

    private int domain(int number) {
        return (number - 1) % domains + 1;
    }
}
