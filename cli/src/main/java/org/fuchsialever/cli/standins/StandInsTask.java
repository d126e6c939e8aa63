package org.fuchsialever.cli.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.command.JsonTask;
import org.fuchsialever.standins.EngineOptions;
import org.fuchsialever.standins.StandInEnvironment;
import org.jspecify.annotations.Nullable;

/** One run of the command {@code stand-ins}. */
@Parameters(
        commandDescription =
                "Start stand-ins for upstreams and the platform, and run until told to stop")
final class StandInsTask extends JsonTask {
    private static final int MAX_FAILURE_DOMAINS = 9;

    @Parameter(names = "--engines", description = "Number of engines")
    private int mEngines = 6;

    @Parameter(names = "--plain-services", description = "Number of plain services")
    private int mPlainServices = 4;

    @Parameter(names = "--failure-domains", description = "Number of failure domains (1 to 9)")
    private int mFailureDomains = 3;

    @Parameter(names = "--nodes", description = "Number of node settings files to write")
    private int mNodes = 3;

    @Parameter(names = "--slots", description = "Requests that an engine runs at the same time")
    private int mSlots = 16;

    @Parameter(names = "--token-millis", description = "Time between two tokens (ms)")
    private int mTokenMillis = 5;

    @Parameter(
            names = "--stragglers",
            description =
                    "Average number of prompts per response of 20 times the length; 0 for none")
    private int mStragglers;

    @Parameter(
            names = "--folder",
            description =
                    "Folder for routes.ini, pools.ini, node-<n>.ini, platform.ini (section"
                            + " [platform] for commands) and addresses.json")
    private @Nullable String mFolder;

    @Parameter(names = "--seconds", description = "Stop after this time (s); 0 runs until told")
    private int mSeconds;

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        if (mFailureDomains < 1
                || mFailureDomains > MAX_FAILURE_DOMAINS
                || mEngines < 0
                || mPlainServices < 0) {
            throw new ParameterException(
                    "--failure-domains must be 1 to "
                            + MAX_FAILURE_DOMAINS
                            + "; --engines and --plain-services must not be negative");
        }
        try (StandInEnvironment environment = start()) {
            StandInFiles files =
                    new StandInFiles(
                            environment, mEngines, mPlainServices, mFailureDomains, mSlots);
            ObjectNode addresses = addresses(environment);
            for (int i = 1; i <= mNodes; i++) {
                environment
                        .instanceList()
                        .put(
                                files.instanceListEntry(
                                        i, StandInFiles.HTTP_PORT + i, StandInFiles.PEER_PORT + i));
            }
            if (mFolder != null) {
                write(files, Path.of(mFolder), addresses);
            }
            print(context, addresses);
            if (mSeconds > 0) {
                context.stop().await(mSeconds, TimeUnit.SECONDS);
            } else {
                context.stop().await();
            }
        }
        return ExitCode.OK;
    }

    private StandInEnvironment start() {
        StandInEnvironment.Builder builder = StandInEnvironment.platform();
        for (int i = 1; i <= mEngines; i++) {
            EngineOptions options =
                    new EngineOptions()
                            .startId("engine-" + i + "-start-1")
                            .slots(mSlots)
                            .tokenInterval(Duration.ofMillis(mTokenMillis));
            if (mStragglers > 0) {
                options.responseLength(EngineOptions.stragglers(16, mStragglers, 20));
            }
            builder.engine("engine-" + i, options);
        }
        for (int i = 1; i <= mPlainServices; i++) {
            builder.plainService("desk-" + i, Duration.ofMillis(mTokenMillis));
        }
        StandInEnvironment environment = builder.start();
        environment.weightStore().publish(StandInFiles.MODEL, 0);
        return environment;
    }

    private void write(StandInFiles files, Path target, ObjectNode addresses) throws IOException {
        Files.createDirectories(target);
        Files.writeString(target.resolve("routes.ini"), files.keyedRoutes());
        Files.writeString(target.resolve("pools.ini"), files.pools());
        for (int i = 1; i <= mNodes; i++) {
            Files.writeString(
                    target.resolve("node-" + i + ".ini"),
                    files.platformNodeSettings(
                            i, StandInFiles.HTTP_PORT + i, StandInFiles.PEER_PORT + i));
        }
        Files.writeString(target.resolve("platform.ini"), files.platform());
        Files.writeString(target.resolve("addresses.json"), addresses.toPrettyString() + "\n");
    }

    private static ObjectNode addresses(StandInEnvironment environment) {
        ObjectNode body = new ObjectMapper().createObjectNode();
        environment.servers().forEach((name, server) -> body.put(name, server.url()));
        return body;
    }

    private void print(CommandContext context, ObjectNode addresses) {
        if (isJsonRequested()) {
            context.out().println(addresses);
        } else {
            for (Map.Entry<String, JsonNode> entry : addresses.properties()) {
                context.out().printf("%-16s %s%n", entry.getKey(), entry.getValue().asText());
            }
        }
        context.out().flush();
    }
}
