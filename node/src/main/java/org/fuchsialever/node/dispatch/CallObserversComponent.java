package org.fuchsialever.node.dispatch;

import java.util.Set;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;

/** Provides the registry of call observers. */
public final class CallObserversComponent implements Component {

    @Override
    public String pluginName() {
        return "call-observers";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of();
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(CallObservers.class);
    }

    @Override
    public void install(ComponentContext context) {
        context.provide(CallObservers.class, new CallObservers());
    }
}
