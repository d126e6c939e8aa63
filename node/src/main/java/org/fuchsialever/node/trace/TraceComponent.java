package org.fuchsialever.node.trace;

import java.util.Set;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.node.NodeIdentity;

/** Provides the structured log on standard output. */
public final class TraceComponent implements Component {

    @Override
    public String pluginName() {
        return "trace";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(NodeIdentity.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(TraceLog.class);
    }

    @Override
    public void install(ComponentContext context) {
        TraceLog trace = new TraceLog(System.out, context.meters());
        context.closer().register("trace", trace);
        NodeIdentity identity = context.require(NodeIdentity.class);
        trace.line("node", "start")
                .with("instance", identity.instance().value())
                .with("start", identity.startId())
                .with("domain", identity.failureDomain().value())
                .write();
        context.closer().register("trace of the stop", () -> trace.line("node", "stop").write());
        context.provide(TraceLog.class, trace);
    }
}
