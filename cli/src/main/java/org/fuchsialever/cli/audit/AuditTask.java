package org.fuchsialever.cli.audit;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.platform.DayOption;
import org.fuchsialever.cli.platform.PlatformSession;
import org.fuchsialever.cli.platform.PlatformTask;

/** One run of the command {@code audit}. */
@Parameters(commandDescription = "Show or verify the audit record of a day")
final class AuditTask extends PlatformTask {
    @Parameter(description = "show | verify", required = true)
    private List<String> mArguments = new ArrayList<>();

    @Parameter(names = "--day", description = "The day in UTC, such as 2026-12-04", required = true)
    private String mDay = "";

    @Parameter(names = "--team", description = "Show the records of one team only")
    private String mTeam = "";

    @Override
    protected ExitCode run(CommandContext context, PlatformSession session) throws Exception {
        AuditDay stored = new AuditDay(session, DayOption.parse(mDay));
        return AuditOperation.of(mArguments.get(0)).run(stored, mTeam, isJsonRequested(), context);
    }
}
