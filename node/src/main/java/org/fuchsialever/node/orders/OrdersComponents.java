package org.fuchsialever.node.orders;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;
import org.fuchsialever.node.watch.UpstreamWatchComponent;
import org.fuchsialever.node.weights.WeightsComponent;

/** Registers the components that poll and order upstreams and update their weights. */
public final class OrdersComponents implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return Component.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(new UpstreamWatchComponent(), new OrdersComponent(), new WeightsComponent());
    }
}
