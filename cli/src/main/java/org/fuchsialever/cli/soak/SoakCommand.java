package org.fuchsialever.cli.soak;

import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;

/** Runs the duties of several instances with random work and faults. */
public final class SoakCommand implements Command {

    @Override
    public String pluginName() {
        return "soak";
    }

    @Override
    public List<ExitCode> exitCodes() {
        return List.of(ExitCode.OK, ExitCode.FAILURE, ExitCode.USAGE);
    }

    @Override
    public CommandTask newTask() {
        return new SoakTask();
    }
}
