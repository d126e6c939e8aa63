package org.fuchsialever.node.dispatch;

import java.util.Set;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;

/** Tells the observers of calls, such as usage and audit, of each call that has ended. */
public final class CallAccountingComponent implements Component {

    @Override
    public String pluginName() {
        return "call-accounting";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(DispatchFeed.class, CallObservers.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of();
    }

    @Override
    public void install(ComponentContext context) {
        context.require(DispatchFeed.class).addCallObserver(context.require(CallObservers.class));
    }
}
