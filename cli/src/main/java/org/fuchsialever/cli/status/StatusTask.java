package org.fuchsialever.cli.status;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.platform.OperatorClient;
import org.fuchsialever.cli.platform.PlatformSession;
import org.fuchsialever.cli.platform.PlatformTask;
import org.fuchsialever.services.ListedInstance;

/** One run of the command {@code status}; fails unless every listed instance is ready. */
@Parameters(commandDescription = "Show the state of all listed instances")
final class StatusTask extends PlatformTask {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    protected ExitCode run(CommandContext context, PlatformSession session) {
        OperatorClient client = new OperatorClient(session.platform().instances());
        Option<List<ListedInstance>> listed = client.listInstances();
        if (listed.isEmpty()) {
            context.err().println("The list of instances cannot be read.");
            return ExitCode.FAILURE;
        }
        Map<String, JsonNode> responses = client.fetchStatus(listed.get());
        ArrayNode states = MAPPER.createArrayNode();
        boolean allReady = true;
        for (ListedInstance instance : listed.get()) {
            JsonNode response = responses.get(instance.instance().value());
            ObjectNode state = states.addObject();
            state.put("instance", instance.instance().value());
            state.put("failure_domain", instance.domain().value());
            state.put("leaving", instance.leaving());
            state.put("answers", response != null);
            if (response != null) {
                state.set("status", response);
            }
            allReady &= response != null && response.path("ready").asBoolean();
        }
        print(context, states);
        return allReady ? ExitCode.OK : ExitCode.FAILURE;
    }

    private void print(CommandContext context, ArrayNode states) {
        if (isJsonRequested()) {
            context.out().println(MAPPER.createObjectNode().set("instances", states).toString());
            return;
        }
        for (JsonNode state : states) {
            JsonNode status = state.path("status");
            String ready = status.path("ready").asBoolean() ? "ready" : "not ready";
            context.out()
                    .printf(
                            "%s  %s  %s  configuration %d  keys %d%n",
                            state.get("instance").asText(),
                            state.get("failure_domain").asText(),
                            state.get("answers").asBoolean() ? ready : "no answer",
                            status.path("config_version").asLong(),
                            status.path("key_version").asLong());
        }
    }
}
