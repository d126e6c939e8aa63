package org.fuchsialever.node.platform;

import io.vavr.control.Option;
import java.util.Set;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.plugin.PluginRegistry;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.PlatformAdapter;
import org.fuchsialever.services.TableService;

/** Provides the platform through the adapter that {@code [platform] adapter} names. */
public final class PlatformComponent implements Component {
    private static final String SECTION = "platform";
    private static final String DEFAULT_ADAPTER = "http";

    private Option<PlatformAdapter> mAdapter = Option.none();

    @Override
    public String pluginName() {
        return "platform";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of();
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(Platform.class, TableService.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        // Duplicate names were reported when the components were discovered.
        PluginRegistry registry = PluginRegistry.discover(new Findings());
        mAdapter =
                registry.select(
                        PlatformAdapter.class,
                        settings.text(SECTION, "adapter", DEFAULT_ADAPTER),
                        settings.location(SECTION, "adapter"),
                        settings.findings());
        mAdapter.forEach(selected -> selected.configure(settings));
    }

    @Override
    public void install(ComponentContext context) {
        mAdapter.forEach(
                selected -> {
                    Platform platform = selected.open(context);
                    context.provide(Platform.class, platform);
                    context.provide(TableService.class, platform.tables());
                });
    }
}
