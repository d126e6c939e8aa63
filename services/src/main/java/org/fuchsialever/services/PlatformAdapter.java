package org.fuchsialever.services;

import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.settings.SettingsReader;

/** A way to reach the platform; the settings pick one by name. */
public interface PlatformAdapter extends Plugin {

    /** Reads the settings of this adapter; problems become findings of the reader. */
    void configure(SettingsReader settings);

    /** Opens the connections and registers what has to be closed. */
    Platform open(ComponentContext context);
}
