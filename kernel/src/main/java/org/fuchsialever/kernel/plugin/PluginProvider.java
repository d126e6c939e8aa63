package org.fuchsialever.kernel.plugin;

import java.util.Collection;

/**
 * Registers plug-ins of one kind. Implementations are listed in {@code META-INF/services} and found
 * through {@link java.util.ServiceLoader}.
 */
public interface PluginProvider {

    /** Returns the interface that all plug-ins of this provider implement. */
    Class<? extends Plugin> kind();

    /** Returns the plug-ins; an enum of plug-ins returns its constants. */
    Collection<? extends Plugin> plugins();
}
