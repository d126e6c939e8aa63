package org.fuchsialever.cli.demo;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;

/** Registers the command {@code demo}. */
public final class DemoCommands implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return Command.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(new DemoCommand());
    }
}
