package org.fuchsialever.services.http;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;
import org.fuchsialever.services.PlatformAdapter;

/** Registers the HTTP adapter. */
public final class PlatformAdapters implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return PlatformAdapter.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(new HttpPlatformAdapter());
    }
}
