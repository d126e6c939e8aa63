package org.fuchsialever.cli.load;

import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;

/** Loads an instance with calls and measures the answers. */
public final class LoadCommand implements Command {

    @Override
    public String pluginName() {
        return "load";
    }

    @Override
    public List<ExitCode> exitCodes() {
        return List.of(ExitCode.OK, ExitCode.FAILURE, ExitCode.USAGE);
    }

    @Override
    public CommandTask newTask() {
        return new LoadTask();
    }
}
