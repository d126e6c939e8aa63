package org.fuchsialever.services.hosted;

import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.settings.SettingsReader;
import reactor.netty.resources.LoopResources;

/** A platform that hosts the node; the settings pick one by name. */
public interface HostedPlatform extends Plugin {

    /** Reads the settings of this platform; problems become findings of the reader. */
    void configure(SettingsReader settings);

    /**
     * Opens the clients and registers what has to be closed.
     *
     * @param context resources of the process
     * @param loops the event loops of the process
     */
    HostedServices open(ComponentContext context, LoopResources loops);
}
