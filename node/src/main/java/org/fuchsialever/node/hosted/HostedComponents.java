package org.fuchsialever.node.hosted;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;
import org.fuchsialever.node.batch.BatchComponent;
import org.fuchsialever.node.directory.DirectoryComponent;
import org.fuchsialever.node.entry.EntryComponent;
import org.fuchsialever.node.forward.ForwardComponent;
import org.fuchsialever.node.metering.MeteringComponent;
import org.fuchsialever.node.trace.TraceComponent;
import org.fuchsialever.node.version.VersionComponent;
import org.fuchsialever.node.workingset.WorkingSetComponent;

/** Registers the components of an instance on a hosting platform. */
public final class HostedComponents implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return Component.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(
                new HostedComponent(),
                new TraceComponent(),
                new DirectoryComponent(),
                new WorkingSetComponent(),
                new ForwardComponent(),
                new BatchComponent(),
                new VersionComponent(),
                new MeteringComponent(),
                new EntryComponent());
    }
}
