package org.fuchsialever.node.forward;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.decisions.domain.DomainCost;
import org.fuchsialever.decisions.domain.DomainPolicy;
import org.fuchsialever.decisions.domain.DomainSpill;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.fuchsialever.decisions.forward.ForwardDuty;
import org.fuchsialever.decisions.queue.Queueing;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.DirectoryListener;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;

/** Provides the forwarding of calls and items to upstreams. */
public final class ForwardComponent implements Component {
    /** Twice the live calls and items in progress, so that no end of an attempt is refused. */
    private static final int RING_CAPACITY = 16_384;

    /** Upstreams serve at least this long after they have announced that they are leaving. */
    private static final Duration DEFAULT_LEAVING_PERIOD = Duration.ofSeconds(2);

    /**
     * Buffers grow by doubling and are copied once, so the bytes take up to three times as much.
     */
    private static final long HEAP_FRACTION = 8;

    /** Two ways of about a millisecond each, as between buildings of one city. */
    private static final Duration DEFAULT_HOP = Duration.ofMillis(2);

    /** Waiting time that is worth as much as moving a megabyte to another failure domain. */
    private static final Duration DEFAULT_MEGABYTE = Duration.ofMillis(100);

    private static final double BYTES_PER_MEGABYTE = 1_000_000;

    private long mMaxResponseBytes = defaultMaxResponseBytes();
    private Duration mLeavingPeriod = DEFAULT_LEAVING_PERIOD;
    private UpstreamBalancing mBalancing = UpstreamBalancing.AUTO;
    private Queueing mQueueing = Queueing.AUTO;
    private DomainPolicy mDomainPolicy = DomainPolicy.AUTO;
    private DomainCost mDomainCost = new DomainCost(DEFAULT_HOP.toNanos(), 0);

    @Override
    public void configure(SettingsReader settings) {
        mLeavingPeriod = settings.duration("forward", "leaving-period", DEFAULT_LEAVING_PERIOD);
        mBalancing =
                settings.choice(
                        "forward", "balancing", UpstreamBalancing.class, UpstreamBalancing.AUTO);
        mQueueing = settings.choice("forward", "queueing", Queueing.class, Queueing.AUTO);
        mDomainPolicy = settings.choice("domains", "leave", DomainPolicy.class, DomainPolicy.AUTO);
        mDomainCost =
                new DomainCost(
                        settings.duration("domains", "hop", DEFAULT_HOP).toNanos(),
                        settings.duration("domains", "megabyte", DEFAULT_MEGABYTE).toNanos()
                                / BYTES_PER_MEGABYTE);
        mMaxResponseBytes = settings.size("forward", "response-memory", defaultMaxResponseBytes());
    }

    private static long defaultMaxResponseBytes() {
        return Runtime.getRuntime().maxMemory() / HEAP_FRACTION;
    }

    @Override
    public String pluginName() {
        return "forward";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(NodeIdentity.class, HostedServices.class, Directory.class, TraceLog.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(ForwardPort.class, UsageListeners.class, EngineReports.class);
    }

    @Override
    public void install(ComponentContext context) {
        Directory directory = context.require(Directory.class);
        String home = context.require(NodeIdentity.class).failureDomain().value();
        DomainSpill domains =
                new DomainSpill(home, mDomainPolicy, mDomainCost, context.random("domains"));
        ForwardRunner[] created = new ForwardRunner[1];
        context.startDutyWith(
                new ForwardDuty(
                        context.random("forward"),
                        mBalancing,
                        mQueueing,
                        mLeavingPeriod.toNanos(),
                        domains),
                RING_CAPACITY,
                OverflowPolicy.REFUSE,
                ring -> {
                    created[0] =
                            new ForwardRunner(
                                    context.require(HostedServices.class).exchange(),
                                    ring,
                                    context.time(),
                                    context.require(TraceLog.class),
                                    context.meters(),
                                    new ResponseMemory(mMaxResponseBytes),
                                    mQueueing,
                                    new DomainTrace(
                                            home,
                                            context.require(TraceLog.class),
                                            context.meters()),
                                    () -> directory.stalenessMillis(DirectoryTable.UPSTREAMS));
                    return created[0];
                });
        ForwardRunner runner = created[0];
        context.require(HostedServices.class)
                .exchange()
                .setIdleBytesListener(runner::noteIdleBytes);
        context.provide(ForwardPort.class, runner);
        context.provide(UsageListeners.class, runner::addUsageListener);
        context.provide(EngineReports.class, runner.reports());
        directory.addListener(
                new DirectoryListener() {
                    @Override
                    public void onUpstreamsChanged(List<FleetUpstream> upstreams) {
                        runner.noteUpstreams(upstreams);
                    }
                });
    }
}
