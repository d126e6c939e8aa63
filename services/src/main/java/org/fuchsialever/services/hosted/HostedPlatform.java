package org.fuchsialever.services.hosted;

import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.settings.SettingsReader;
import reactor.netty.resources.LoopResources;

/** A platform that hosts the node; the settings select one by name. */
public interface HostedPlatform extends Plugin {

    /** Reads the settings of this platform; problems become findings of the reader. */
    void configure(SettingsReader settings);

    /**
     * Creates the clients and registers the resources to close.
     *
     * @param loops the event loops of the process, which the caller closes
     */
    HostedServices open(ComponentContext context, LoopResources loops);
}
