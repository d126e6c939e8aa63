package org.fuchsialever.node.http;

import java.util.Set;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;

/** Provides the list to which other components add their endpoints. */
public final class EndpointsComponent implements Component {

    @Override
    public String pluginName() {
        return "endpoints";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of();
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(Endpoints.class);
    }

    @Override
    public void install(ComponentContext context) {
        context.provide(Endpoints.class, new Endpoints());
    }
}
