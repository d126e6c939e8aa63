package org.fuchsialever.node.metering;

import java.time.Duration;
import java.util.Set;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.forward.UsageListeners;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;

/** Counts calls by team and reports each usage window, under a lease. */
public final class MeteringComponent implements Component {
    /** The window length that existing deployments use. */
    private static final Duration DEFAULT_WINDOW = Duration.ofSeconds(5);

    /** Calls are counted by the millisecond in which they began. */
    private static final Duration MIN_WINDOW = Duration.ofMillis(1);

    private static final String SECTION = "metering";

    private Duration mWindow = DEFAULT_WINDOW;

    @Override
    public String pluginName() {
        return "metering";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                HostedServices.class,
                UsageListeners.class,
                Leases.class,
                NodeIdentity.class,
                DrainSignal.class,
                TraceLog.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of();
    }

    @Override
    public void configure(SettingsReader settings) {
        mWindow = settings.duration(SECTION, "window", DEFAULT_WINDOW, MIN_WINDOW);
    }

    @Override
    public void install(ComponentContext context) {
        HostedServices services = context.require(HostedServices.class);
        NodeIdentity identity = context.require(NodeIdentity.class);
        Leases leases = context.require(Leases.class);
        TraceLog trace = context.require(TraceLog.class);
        WindowCounts counts = new WindowCounts(mWindow);
        context.require(UsageListeners.class).add(counts::add);
        MeteringRows rows =
                new MeteringRows(
                        services.rows(), identity.instance().value() + "." + identity.startId());
        UsageReporter loop =
                new UsageReporter(
                        counts,
                        rows,
                        services.fencedCalls(),
                        leases,
                        context.time(),
                        trace,
                        context.meters());
        context.closer().register("metering", loop);
        loop.start(services.exchange().loop());
        context.require(DrainSignal.class).onStart(loop::drain);
    }
}
