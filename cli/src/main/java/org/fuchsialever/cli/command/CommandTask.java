package org.fuchsialever.cli.command;

import com.beust.jcommander.Parameter;

/**
 * One run of a command. Its options are fields annotated with {@link Parameter}. Commands that
 * print data extend {@link JsonTask}, which adds the option {@code --json}.
 */
public abstract class CommandTask {
    @Parameter(names = "--help", help = true, description = "Show the options and exit codes")
    private boolean mHelp;

    /** Returns whether {@code --help} was given. */
    public final boolean isHelpRequested() {
        return mHelp;
    }

    /**
     * Runs the command.
     *
     * @param context output streams and stop signal
     * @return the exit code, one of {@link Command#exitCodes}
     * @throws Exception if the command fails in a way that it does not handle; the program prints
     *     the message and exits with {@link ExitCode#FAILURE}
     */
    public abstract ExitCode run(CommandContext context) throws Exception;
}
