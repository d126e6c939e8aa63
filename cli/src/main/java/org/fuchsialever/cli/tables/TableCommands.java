package org.fuchsialever.cli.tables;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;

/** Registers the commands for the tables. */
public final class TableCommands implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return Command.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(TableCommand.values());
    }
}
