package org.fuchsialever.cli.tables;

import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;

/** The commands for the tables of routes and pools. */
public enum TableCommand implements Command {
    /** Validates both tables. */
    CHECK(CheckTask::new, List.of(ExitCode.OK, ExitCode.FAILURE, ExitCode.USAGE)),
    /** Compares both tables with the version in force. */
    DIFF(DiffTask::new, List.of(ExitCode.OK, ExitCode.FAILURE, ExitCode.USAGE)),
    /** Puts both tables in force. */
    APPLY(
            ApplyTask::new,
            List.of(
                    ExitCode.OK,
                    ExitCode.FAILURE,
                    ExitCode.USAGE,
                    ExitCode.CONFLICT,
                    ExitCode.UNCONFIRMED));

    private final Supplier<CommandTask> mTasks;
    private final List<ExitCode> mCodes;

    TableCommand(Supplier<CommandTask> tasks, List<ExitCode> codes) {
        mTasks = tasks;
        mCodes = codes;
    }

    @Override
    public String pluginName() {
        return name().toLowerCase(Locale.ROOT);
    }

    @Override
    public List<ExitCode> exitCodes() {
        return mCodes;
    }

    @Override
    public CommandTask newTask() {
        return mTasks.get();
    }
}
