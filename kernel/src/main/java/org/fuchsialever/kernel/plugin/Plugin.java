package org.fuchsialever.kernel.plugin;

/** An implementation that settings select by name. Names are unique within a kind of plug-in. */
public interface Plugin {

    /** Returns the name by which settings refer to this plug-in. */
    String pluginName();
}
