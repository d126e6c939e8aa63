package org.fuchsialever.services;

import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.settings.SettingsReader;

/** An adapter to the platform; the settings select one by name. */
public interface PlatformAdapter extends Plugin {

    /** Reads the settings of this adapter; problems become findings of the reader. */
    void configure(SettingsReader settings);

    /** Creates the clients and registers the resources to close. */
    Platform open(ComponentContext context);
}
