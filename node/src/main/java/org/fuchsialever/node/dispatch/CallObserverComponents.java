package org.fuchsialever.node.dispatch;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;

/** Registers the components that notify observers of finished calls. */
public final class CallObserverComponents implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return Component.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(new CallObserversComponent(), new CallAccountingComponent());
    }
}
