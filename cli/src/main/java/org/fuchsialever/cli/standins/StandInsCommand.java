package org.fuchsialever.cli.standins;

import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;

/** Runs stand-ins for upstreams and the platform in one process. */
public final class StandInsCommand implements Command {

    @Override
    public String pluginName() {
        return "stand-ins";
    }

    @Override
    public List<ExitCode> exitCodes() {
        return List.of(ExitCode.OK, ExitCode.FAILURE, ExitCode.USAGE);
    }

    @Override
    public CommandTask newTask() {
        return new StandInsTask();
    }
}
