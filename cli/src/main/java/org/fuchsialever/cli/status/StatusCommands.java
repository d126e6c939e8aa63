package org.fuchsialever.cli.status;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;

/** Registers the command {@code status}. */
public final class StatusCommands implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return Command.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(new StatusCommand());
    }
}
