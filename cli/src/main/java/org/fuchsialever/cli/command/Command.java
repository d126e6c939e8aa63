package org.fuchsialever.cli.command;

import java.util.List;
import org.fuchsialever.kernel.plugin.Plugin;

/**
 * A command of the {@code fuchsialever} program. Commands register through a {@link
 * org.fuchsialever.kernel.plugin.PluginProvider} of kind {@code Command}; the plug-in name is the
 * word on the command line.
 */
public interface Command extends Plugin {

    /** Returns the exit codes that the command may return; its help lists them. */
    List<ExitCode> exitCodes();

    /**
     * Returns a new task, which holds the options of one run. Its class must have the annotation
     * {@code com.beust.jcommander.Parameters} with a description.
     */
    CommandTask newTask();
}
