package org.fuchsialever.cli.tables;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.platform.PlatformSession;
import org.fuchsialever.cli.platform.PlatformTask;

/** One run of the command {@code diff}. */
@Parameters(commandDescription = "Show how the files differ from the version in force")
final class DiffTask extends PlatformTask {
    @ParametersDelegate private TableFiles mFiles = new TableFiles();

    @Override
    protected ExitCode run(CommandContext context, PlatformSession session) throws Exception {
        StoredTables stored = new StoredTables(session);
        long version = stored.currentVersion().version();
        List<String> lines = TableDiff.lines(stored.read(version), mFiles.read(version));
        if (isJsonRequested()) {
            ObjectNode body = new ObjectMapper().createObjectNode();
            body.put("version", version);
            lines.forEach(body.putArray("changes")::add);
            context.out().println(body);
        } else {
            context.out().println("Version " + version + " is in force.");
            lines.forEach(context.out()::println);
        }
        return ExitCode.OK;
    }
}
