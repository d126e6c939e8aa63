package org.fuchsialever.cli.usage;

import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;

/** Shows the usage counts of closed windows. */
public final class UsageCommand implements Command {

    @Override
    public String pluginName() {
        return "usage";
    }

    @Override
    public List<ExitCode> exitCodes() {
        return List.of(ExitCode.OK, ExitCode.FAILURE, ExitCode.USAGE);
    }

    @Override
    public CommandTask newTask() {
        return new UsageTask();
    }
}
