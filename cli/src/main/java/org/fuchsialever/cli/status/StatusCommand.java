package org.fuchsialever.cli.status;

import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;

/** Shows the state of all listed instances. */
public final class StatusCommand implements Command {

    @Override
    public String pluginName() {
        return "status";
    }

    @Override
    public List<ExitCode> exitCodes() {
        return List.of(ExitCode.OK, ExitCode.FAILURE, ExitCode.USAGE);
    }

    @Override
    public CommandTask newTask() {
        return new StatusTask();
    }
}
