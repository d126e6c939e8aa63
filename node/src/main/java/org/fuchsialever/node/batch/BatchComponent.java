package org.fuchsialever.node.batch;

import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.batch.BatchDuty;
import org.fuchsialever.decisions.batch.BatchEvent;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedHead;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.DirectoryListener;
import org.fuchsialever.node.forward.ForwardPort;
import org.fuchsialever.node.hosted.DrainPhases;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Provides batch submissions. */
public final class BatchComponent implements Component {
    /** Each item in progress has one event to come; 8,192 are two large steps. */
    private static final int RING_CAPACITY = 16_384;

    @Override
    public String pluginName() {
        return "batch";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                HostedServices.class,
                Directory.class,
                ForwardPort.class,
                NodeIdentity.class,
                DrainPhases.class,
                TraceLog.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(BatchService.class, BatchDrain.class);
    }

    @Override
    public void install(ComponentContext context) {
        HostedServices services = context.require(HostedServices.class);
        Directory directory = context.require(Directory.class);
        NodeIdentity identity = context.require(NodeIdentity.class);
        TraceLog trace = context.require(TraceLog.class);
        BatchStore store = new BatchStore(services);
        BatchDrain drain = new BatchDrain();
        BatchActions[] created = new BatchActions[1];
        Inbox<BatchEvent> inbox =
                context.startDutyWith(
                        new BatchDuty(
                                identity.instance().value(),
                                identity.start(),
                                context.random("batch")),
                        RING_CAPACITY,
                        OverflowPolicy.REFUSE,
                        ring -> {
                            created[0] =
                                    new BatchActions(
                                            store,
                                            directory,
                                            context.require(ForwardPort.class),
                                            services.upstreams(),
                                            ring,
                                            context.time(),
                                            trace,
                                            drain::completed);
                            return created[0];
                        });
        BatchActions actions = created[0];
        // Timers run in the event loop, which costs no further thread.
        Scheduler timers = Schedulers.fromExecutorService(services.exchange().loop());
        BatchWaiters waiters = new BatchWaiters(timers);
        context.provide(
                BatchService.class,
                new BatchService(
                        store,
                        actions,
                        waiters,
                        directory,
                        services.entry(),
                        identity,
                        context.time(),
                        trace));
        context.provide(BatchDrain.class, drain);
        context.require(DrainPhases.class).onStart(() -> inbox.offer(new BatchEvent.Draining()));
        directory.listen(
                new DirectoryListener() {
                    @Override
                    public void onManifest(Manifest manifest) {
                        actions.reroute(manifest);
                    }

                    @Override
                    public void onHeads(List<VersionedHead> heads, List<String> removed) {
                        waiters.changed(heads);
                        inbox.offer(new BatchEvent.HeadsChanged(heads, removed));
                    }

                    @Override
                    public void onBatchContact(boolean present) {
                        // Called about once a second, often enough to tell who is alive.
                        inbox.offer(new BatchEvent.PeersChanged(directory.livePeers()));
                        inbox.offer(new BatchEvent.StoreContact(present));
                    }
                });
    }
}
