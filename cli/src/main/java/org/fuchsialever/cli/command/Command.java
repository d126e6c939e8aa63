package org.fuchsialever.cli.command;

import java.util.List;
import org.fuchsialever.kernel.plugin.Plugin;

/**
 * A command of the {@code fuchsialever} program. Commands register through a {@link
 * org.fuchsialever.kernel.plugin.PluginProvider} of kind {@code Command}; the plug-in name is the
 * word on the command line.
 */
public interface Command extends Plugin {

    /** Returns the exit codes that the command may give, for its help. */
    List<ExitCode> exitCodes();

    /**
     * Returns a new task, which is the options object of one run. Its class carries {@code
     * com.beust.jcommander.Parameters} with a description.
     */
    CommandTask newTask();
}
