package org.fuchsialever.cli.demo;

import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;

/** Runs three instances with stand-ins, traffic and rollouts, and checks what must hold. */
public final class DemoCommand implements Command {

    @Override
    public String pluginName() {
        return "demo";
    }

    @Override
    public List<ExitCode> exitCodes() {
        return List.of(ExitCode.OK, ExitCode.FAILURE, ExitCode.USAGE);
    }

    @Override
    public CommandTask newTask() {
        return new DemoTask();
    }
}
