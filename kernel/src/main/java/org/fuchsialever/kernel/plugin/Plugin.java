package org.fuchsialever.kernel.plugin;

/** Something that settings can pick by name. Names are unique within one kind of plug-in. */
public interface Plugin {

    /** Returns the name by which settings refer to this plug-in. */
    String pluginName();
}
