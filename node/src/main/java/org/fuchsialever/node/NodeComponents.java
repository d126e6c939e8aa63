package org.fuchsialever.node;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;
import org.fuchsialever.node.config.TableFilesComponent;
import org.fuchsialever.node.dispatch.DispatchComponent;
import org.fuchsialever.node.http.EndpointsComponent;
import org.fuchsialever.node.http.FrontEndComponent;
import org.fuchsialever.node.http.ReadinessComponent;
import org.fuchsialever.node.keys.OpenRoutesComponent;

/** Registers the components of an instance. */
public final class NodeComponents implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return Component.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(
                new IdentityComponent(),
                new TableFilesComponent(),
                new OpenRoutesComponent(),
                new DispatchComponent(),
                new ReadinessComponent(),
                new EndpointsComponent(),
                new FrontEndComponent());
    }
}
