package org.fuchsialever.cli.keys;

import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;

/** Grants, lists and withdraws keys. */
public final class KeyCommand implements Command {

    @Override
    public String pluginName() {
        return "key";
    }

    @Override
    public List<ExitCode> exitCodes() {
        return List.of(
                ExitCode.OK,
                ExitCode.FAILURE,
                ExitCode.USAGE,
                ExitCode.CONFLICT,
                ExitCode.UNCONFIRMED);
    }

    @Override
    public CommandTask newTask() {
        return new KeyTask();
    }
}
