package org.fuchsialever.node.hosted;

import io.vavr.control.Option;
import java.util.Set;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.lifecycle.StopRequest;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.plugin.PluginRegistry;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.services.TableService;
import org.fuchsialever.services.hosted.HostedPlatform;
import org.fuchsialever.services.hosted.HostedServices;
import reactor.netty.resources.LoopResources;

/** Provides the hosting platform that {@code [platform] adapter} names. */
public final class HostedComponent implements Component {
    private static final String SECTION = "platform";

    private Option<HostedPlatform> mPlatform = Option.none();

    @Override
    public String pluginName() {
        return "hosted";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of();
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(
                HostedServices.class, TableService.class, LoopResources.class, DrainSignal.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        // Duplicate names were reported when the components were discovered.
        PluginRegistry registry = PluginRegistry.discover(new Findings());
        mPlatform =
                registry.select(
                        HostedPlatform.class,
                        settings.requiredText(SECTION, "adapter"),
                        settings.location(SECTION, "adapter"),
                        settings.findings());
        mPlatform.forEach(selected -> selected.configure(settings));
    }

    @Override
    public void install(ComponentContext context) {
        // One event loop: an instance has less than one core.
        LoopResources loops = LoopResources.create("http", 1, true);
        context.closer().register("event loop", () -> loops.dispose());
        context.provide(LoopResources.class, loops);
        context.provide(
                DrainSignal.class,
                new DrainSignal(context.find(StopRequest.class).getOrElse(StopRequest::new)));
        mPlatform.forEach(
                selected -> {
                    HostedServices services = selected.open(context, loops);
                    context.provide(HostedServices.class, services);
                    context.provide(TableService.class, services.tables());
                });
    }
}
