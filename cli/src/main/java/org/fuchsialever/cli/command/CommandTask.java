package org.fuchsialever.cli.command;

import com.beust.jcommander.Parameter;

/**
 * One run of a command: its options are fields with {@link Parameter}. A command that prints data
 * adds a field for {@code --json}, see {@link JsonTask}.
 */
public abstract class CommandTask {
    @Parameter(names = "--help", help = true, description = "Show the options and exit codes")
    private boolean help;

    /** Returns whether the options were asked for. */
    public final boolean isHelpRequested() {
        return help;
    }

    /**
     * Runs the command.
     *
     * @param context output and the signal to stop
     * @return the exit code, one of {@link Command#exitCodes}
     * @throws Exception if the command fails in a way that it does not handle; the program prints
     *     the message and exits with {@link ExitCode#FAILURE}
     */
    public abstract ExitCode run(CommandContext context) throws Exception;
}
