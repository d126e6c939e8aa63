package org.fuchsialever.cli.audit;

import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;

/** Shows or verifies the audit record of a day. */
public final class AuditCommand implements Command {

    @Override
    public String pluginName() {
        return "audit";
    }

    @Override
    public List<ExitCode> exitCodes() {
        return List.of(ExitCode.OK, ExitCode.FAILURE, ExitCode.USAGE, ExitCode.DIFFERENT);
    }

    @Override
    public CommandTask newTask() {
        return new AuditTask();
    }
}
