package org.fuchsialever.node.keys;

import io.vavr.control.Either;
import java.util.Set;
import org.fuchsialever.decisions.config.Access;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.frontend.Authenticator;
import org.fuchsialever.frontend.Caller;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;

/** Admits callers to open routes only, for a stand-alone instance without the platform. */
public final class OpenRoutesComponent implements Component {

    @Override
    public String pluginName() {
        return "open-routes";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of();
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(Authenticator.class, RunningCalls.class);
    }

    @Override
    public void install(ComponentContext context) {
        context.provide(
                Authenticator.class,
                (authorization, route) ->
                        route.access() == Access.OPEN
                                ? Either.right(Caller.anonymous())
                                : Either.left(RefusalReason.KEYS_STALE));
        context.provide(RunningCalls.class, (key, end) -> () -> {});
    }
}
