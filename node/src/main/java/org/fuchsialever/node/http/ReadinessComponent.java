package org.fuchsialever.node.http;

import java.util.Set;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.node.config.ConfigHolder;

/** Provides the readiness of the instance; other components add their conditions. */
public final class ReadinessComponent implements Component {

    @Override
    public String pluginName() {
        return "readiness";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(ConfigHolder.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(Readiness.class);
    }

    @Override
    public void install(ComponentContext context) {
        Readiness readiness = new Readiness();
        ConfigHolder config = context.require(ConfigHolder.class);
        readiness.addCondition("configuration", () -> config.status().ready());
        context.provide(Readiness.class, readiness);
    }
}
