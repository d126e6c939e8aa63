package org.fuchsialever.node.usage;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.membership.PeerMessage.UsageHandover;
import org.fuchsialever.decisions.usage.StartId;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.UsageDuty;
import org.fuchsialever.decisions.usage.UsageEvent;
import org.fuchsialever.decisions.usage.UsageKey;
import org.fuchsialever.decisions.usage.UsageSettings;
import org.fuchsialever.decisions.usage.WindowCloser;
import org.fuchsialever.decisions.usage.WindowCloserEvent;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.audit.AuditRecorder;
import org.fuchsialever.node.dispatch.CallObservers;
import org.fuchsialever.node.dispatch.FinishedCall;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.node.peers.PeerMessages;
import org.fuchsialever.services.Platform;
import org.jspecify.annotations.Nullable;

/** Counts usage, stores it and reports usage windows. */
public final class UsageComponent implements Component {
    private static final PartLogger LOG = PartLogger.of("usage");
    private static final String MSG_BAD_WINDOW = "usage.bad-window";
    private static final String SECTION = "usage";
    private static final int RING_CAPACITY = 65_536;
    private static final int CLOSER_RING_CAPACITY = 1_024;
    private static final long STOP_SECONDS = 5;
    private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(10);

    private UsageSettings usage = UsageSettings.standard();
    private Duration requestTimeout = DEFAULT_REQUEST_TIMEOUT;

    @Override
    public String pluginName() {
        return "usage";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                NodeIdentity.class,
                InvariantMonitor.class,
                Platform.class,
                Leases.class,
                PeerMessages.class,
                CallObservers.class,
                AuditRecorder.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(UsageRecorder.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        long window = millis(settings, "window", usage.windowMillis());
        long retention = millis(settings, "retention", usage.retentionMillis());
        long closeDelay = millis(settings, "close-delay", usage.closeDelayMillis());
        requestTimeout =
                settings.duration(SECTION, "receiver-request-timeout", DEFAULT_REQUEST_TIMEOUT);
        // Labels of windows name seconds, so a window must begin with a full second.
        if (window < 1 || window % TimeUnit.SECONDS.toMillis(1) != 0 || retention < 2 * window) {
            settings.findings()
                    .error(
                            settings.location(SECTION, "window"),
                            MSG_BAD_WINDOW,
                            "a window takes whole seconds, and retention at least two windows");
            return;
        }
        usage =
                new UsageSettings(
                        window, retention, closeDelay, usage.maxTotals(), usage.maxHandovers());
    }

    @Override
    public void install(ComponentContext context) {
        NodeIdentity identity = context.require(NodeIdentity.class);
        InvariantMonitor invariants = context.require(InvariantMonitor.class);
        Platform platform = context.require(Platform.class);
        startCounting(context, identity, platform);
        Link<WindowCloserEvent> events = new Link<>();
        CloserActions closer =
                new CloserActions(
                        platform.tables(),
                        platform.usageReports(),
                        context.require(Leases.class),
                        context.require(AuditRecorder.class),
                        context.time(),
                        identity.startId(),
                        context.meters(),
                        events);
        long now = context.time().nanoTime();
        WindowCloser duty =
                new WindowCloser(usage, requestTimeout, new ReportJson(), invariants, now);
        events.ring = context.startDuty(duty, CLOSER_RING_CAPACITY, OverflowPolicy.REFUSE, closer);
        closer.start();
    }

    private void startCounting(ComponentContext context, NodeIdentity identity, Platform platform) {
        PeerMessages peers = context.require(PeerMessages.class);
        Link<UsageEvent> events = new Link<>();
        UsageActions actions =
                new UsageActions(
                        platform.tables(), peers, identity.startId(), context.meters(), events);
        UsageDuty duty =
                new UsageDuty(
                        new StartId(identity.instance(), identity.startId()),
                        identity.failureDomain(),
                        usage,
                        context.time().nanoTime(),
                        context.random("usage").nextLong(UsageSettings.COMMIT_INTERVAL_NANOS));
        Inbox<UsageEvent> ring =
                context.startDuty(duty, RING_CAPACITY, OverflowPolicy.REFUSE, actions);
        events.ring = ring;
        context.closer().register("usage totals", () -> stop(ring, actions));
        peers.subscribe(
                UsageHandover.class,
                (sender, message) -> HandoverMessages.decode(message).forEach(events::emit));
        UsageRecorder recorder = (key, figures) -> offer(context, ring, key, figures);
        context.require(CallObservers.class).add(call -> count(call, recorder));
        context.provide(UsageRecorder.class, recorder);
    }

    private static void count(FinishedCall call, UsageRecorder recorder) {
        for (FinishedCall.Attempt attempt : call.attempts()) {
            recorder.record(
                    new UsageKey(call.caller().team(), call.route(), attempt.usageClass()),
                    attempt.used());
        }
    }

    private static boolean offer(
            ComponentContext context, Inbox<UsageEvent> ring, UsageKey key, UsageCounts figures) {
        long now = context.time().wallMillis();
        boolean taken = ring.offer(new UsageEvent.Used(now, key, figures));
        if (!taken) {
            context.meters()
                    .counter("fuchsialever.usage.lost", "reason", "ring-full")
                    .increment(figures.requests());
        }
        return taken;
    }

    private static void stop(Inbox<UsageEvent> ring, UsageActions actions)
            throws InterruptedException {
        ring.offer(new UsageEvent.Stop());
        if (!actions.stopped().await(STOP_SECONDS, TimeUnit.SECONDS)) {
            LOG.warning("The last totals were not written; a peer writes what it was handed.");
        }
    }

    private static long millis(SettingsReader settings, String key, long defaultMillis) {
        return settings.duration(SECTION, key, Duration.ofMillis(defaultMillis)).toMillis();
    }

    /** Events for a ring that is created after its producers. */
    private static final class Link<E> implements ActionSink<E> {
        private volatile @Nullable Inbox<E> ring;

        @Override
        public void emit(E event) {
            Inbox<E> target = ring;
            if (target == null || !target.offer(event)) {
                LOG.warning("Ring is full; an event of type " + event.getClass() + " was lost.");
            }
        }
    }
}
