package org.fuchsialever.node.config;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;
import org.fuchsialever.node.keys.KeysComponent;
import org.fuchsialever.node.platform.PlatformComponent;

/** Registers the components that read configuration and keys from the platform. */
public final class ConfigComponents implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return Component.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(new PlatformComponent(), new ConfigComponent(), new KeysComponent());
    }
}
