package org.fuchsialever.node.exchange;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;

/** Registers the component that exchanges state with other instances. */
public final class ExchangeComponents implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return Component.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(new ExchangeComponent());
    }
}
