package org.fuchsialever.cli.usage;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.platform.DayOption;
import org.fuchsialever.cli.platform.PlatformSession;
import org.fuchsialever.cli.platform.PlatformTask;
import org.fuchsialever.decisions.usage.WindowId;
import org.fuchsialever.node.usage.UsageRows;
import org.fuchsialever.services.Row;

/** One run of the command {@code usage}. */
@Parameters(commandDescription = "Show the usage counts of closed windows")
final class UsageTask extends PlatformTask {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Parameter(names = "--window", description = "One window, such as 20261204T080500Z")
    private String mWindow = "";

    @Parameter(names = "--day", description = "All windows that begin on a day, such as 2026-12-04")
    private String mDay = "";

    @Override
    protected ExitCode run(CommandContext context, PlatformSession session) throws Exception {
        String prefix = keyPrefix();
        Set<String> reported =
                scan(session, UsageRows.REPORTED_PREFIX + prefix).stream()
                        .map(row -> row.key().substring(UsageRows.REPORTED_PREFIX.length()))
                        .collect(Collectors.toSet());
        ArrayNode windows = MAPPER.createArrayNode();
        for (Row row : scan(session, UsageRows.WINDOW_PREFIX + prefix)) {
            String name = row.key().substring(UsageRows.WINDOW_PREFIX.length());
            String text = UsageRows.decodeWindow(row.value()).get().report();
            ObjectNode entry = windows.addObject();
            entry.put("window", name);
            entry.put("reported", reported.contains(name));
            entry.set("report", MAPPER.readTree(text));
        }
        if (windows.isEmpty() && !mWindow.isEmpty()) {
            context.err().println("Window " + mWindow + " is not closed.");
            return ExitCode.FAILURE;
        }
        if (isJsonRequested()) {
            context.out().println(MAPPER.createObjectNode().set("windows", windows).toString());
        } else {
            windows.forEach(entry -> print(entry, context.out()));
        }
        return ExitCode.OK;
    }

    private String keyPrefix() {
        if (mWindow.isEmpty() == mDay.isEmpty()) {
            throw new ParameterException("usage needs either --window or --day");
        }
        if (mWindow.isEmpty()) {
            return DayOption.compact(DayOption.parse(mDay));
        }
        try {
            return WindowId.parse(mWindow).label();
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage());
        }
    }

    private static List<Row> scan(PlatformSession session, String prefix) {
        return PlatformSession.await(session.platform().tables().scan(UsageRows.TABLE, prefix, 0));
    }

    private static void print(JsonNode entry, PrintStream out) {
        String state = entry.get("reported").asBoolean() ? "reported" : "closed, not yet reported";
        out.println("Window " + entry.get("window").asText() + " (" + state + ")");
        printLines(entry.get("report").get("totals"), "", out);
        for (JsonNode correction : entry.get("report").get("corrections")) {
            String suffix = "  correction of " + correction.get("window").asText();
            printLines(correction.get("totals"), suffix, out);
        }
    }

    private static void printLines(JsonNode lines, String suffix, PrintStream out) {
        for (JsonNode line : lines) {
            out.printf(
                    "  %s  %s  %s  requests %d  prompt tokens %d  generated tokens %d%s%n",
                    line.get("team").asText(),
                    line.get("route").asText(),
                    line.get("class").asText(),
                    line.get("requests").asLong(),
                    line.get("prompt_tokens").asLong(),
                    line.get("generated_tokens").asLong(),
                    suffix);
        }
    }
}
