package org.fuchsialever.kernel.plugin;

import java.util.Set;
import org.fuchsialever.kernel.settings.SettingsReader;

/** A part of a process that uses services of other components and offers its own. */
public interface Component extends Plugin {

    /** Returns the types of the services that this component needs when it is installed. */
    Set<Class<?>> requires();

    /** Returns the types of the services that {@link #install} provides. */
    Set<Class<?>> provides();

    /**
     * Reads all settings of this component. Called once for each component before any is installed,
     * so that all findings are reported before a port is opened.
     */
    default void configure(SettingsReader settings) {}

    /**
     * Creates the services of this component, provides them and registers the resources to close.
     */
    void install(ComponentContext context);
}
