package org.fuchsialever.node.batch;

import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.batch.BatchDuty;
import org.fuchsialever.decisions.batch.BatchEvent;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.DirectoryListener;
import org.fuchsialever.node.directory.StoreClock;
import org.fuchsialever.node.forward.ForwardPort;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Provides batch submissions. */
public final class BatchComponent implements Component {
    /** Each item in progress has one pending event; two large steps have 8,192 items. */
    private static final int RING_CAPACITY = 16_384;

    /** Existing deployments require results to stay readable for this long. */
    private static final Duration DEFAULT_RETENTION = Duration.ofSeconds(120);

    private static final long PURGE_INTERVAL_MILLIS = 2_000;

    /** Requests and responses have half of the heap and heads 15%; the rest is for all else. */
    private static final long DEFAULT_MEMORY_PERCENT = 25;

    private static final long MAX_MEMORY_PERCENT = 80;
    private static final int PERCENT = 100;

    private Duration mRetention = DEFAULT_RETENTION;
    private long mMemoryPercent = DEFAULT_MEMORY_PERCENT;

    @Override
    public String pluginName() {
        return "batch";
    }

    @Override
    public void configure(SettingsReader settings) {
        mRetention = settings.duration("batch", "retention", DEFAULT_RETENTION);
        mMemoryPercent =
                settings.integer(
                        "batch", "memory-percent", DEFAULT_MEMORY_PERCENT, 1, MAX_MEMORY_PERCENT);
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                HostedServices.class,
                Directory.class,
                StoreClock.class,
                ForwardPort.class,
                NodeIdentity.class,
                DrainSignal.class,
                Leases.class,
                TraceLog.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(BatchService.class, BatchDrain.class);
    }

    private void startPurge(
            ComponentContext context,
            HostedServices services,
            BatchStore store,
            Directory directory,
            StoreClock clock,
            TraceLog trace) {
        Leases leases = context.require(Leases.class);
        BatchPurge purge =
                new BatchPurge(
                        services, store, directory, leases, clock, mRetention.toMillis(), trace);
        leases.request(
                BatchPurge.ROLE,
                new Leases.LeaseListener() {
                    @Override
                    public void onAcquired(HeldLease lease) {
                        trace.line("batch", "purge-role-gained").write();
                    }

                    @Override
                    public void onLost(String role) {
                        trace.line("batch", "purge-role-lost").write();
                    }
                });
        context.require(DrainSignal.class).onStart(() -> leases.release(BatchPurge.ROLE));
        Future<?> timer =
                services.exchange()
                        .loop()
                        .scheduleAtFixedRate(
                                purge::tick,
                                PURGE_INTERVAL_MILLIS,
                                PURGE_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
        context.closer().register("purge", () -> timer.cancel(false));
    }

    @Override
    public void install(ComponentContext context) {
        HostedServices services = context.require(HostedServices.class);
        Directory directory = context.require(Directory.class);
        NodeIdentity identity = context.require(NodeIdentity.class);
        TraceLog trace = context.require(TraceLog.class);
        StoreClock clock = context.require(StoreClock.class);
        BatchStore store = new BatchStore(services, clock);
        BatchDrain drain = new BatchDrain();
        BatchActions[] created = new BatchActions[1];
        Inbox<BatchEvent> inbox =
                context.startDutyWith(
                        new BatchDuty(
                                identity.instance().value(),
                                identity.startId(),
                                context.random("batch"),
                                Runtime.getRuntime().maxMemory() / PERCENT * mMemoryPercent),
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
                                            clock,
                                            trace,
                                            drain::completed);
                            return created[0];
                        });
        BatchActions actions = created[0];
        // Timers run in the event loop and need no thread of their own.
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
                        clock,
                        trace));
        context.provide(BatchDrain.class, drain);
        startPurge(context, services, store, directory, clock, trace);
        context.require(DrainSignal.class).onStart(() -> inbox.offer(new BatchEvent.Draining()));
        directory.addListener(listener(actions, waiters, directory, inbox));
    }

    private static DirectoryListener listener(
            BatchActions actions,
            BatchWaiters waiters,
            Directory directory,
            Inbox<BatchEvent> inbox) {
        return new DirectoryListener() {
            @Override
            public void onManifestChanged(Manifest manifest) {
                actions.reroute(manifest);
            }

            @Override
            public void onManifestCurrent(Manifest manifest, long asOfNanos) {
                inbox.offer(new BatchEvent.ManifestRead(manifest, asOfNanos));
            }

            @Override
            public void onBatchStatesChanged(List<VersionedState> states, List<String> removed) {
                waiters.onStatesChanged(states);
                inbox.offer(new BatchEvent.StatesChanged(states, removed));
            }

            @Override
            public void onBatchTableAvailability(boolean present) {
                // Called about once a second, often enough to detect lost peers.
                inbox.offer(new BatchEvent.PeersChanged(directory.livePeers()));
                // Without routes, items of earlier submissions would fail as unroutable.
                boolean usable = present && directory.manifest().isDefined();
                inbox.offer(new BatchEvent.StoreReachability(usable));
            }
        };
    }
}
