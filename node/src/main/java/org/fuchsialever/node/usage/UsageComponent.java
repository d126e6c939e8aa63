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
    private static final long STOP_TIMEOUT_SECONDS = 5;
    private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(10);

    private UsageSettings mUsage = UsageSettings.standard();
    private Duration mRequestTimeout = DEFAULT_REQUEST_TIMEOUT;

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
        long window = millis(settings, "window", mUsage.windowMillis());
        long retention = millis(settings, "retention", mUsage.retentionMillis());
        long closeDelay = millis(settings, "close-delay", mUsage.closeDelayMillis());
        mRequestTimeout =
                settings.duration(SECTION, "receiver-request-timeout", DEFAULT_REQUEST_TIMEOUT);
        // Window labels have a resolution of one second.
        if (window < 1 || window % TimeUnit.SECONDS.toMillis(1) != 0 || retention < 2 * window) {
            settings.findings()
                    .error(
                            settings.location(SECTION, "window"),
                            MSG_BAD_WINDOW,
                            "the window must be a multiple of 1s, and retention at least two"
                                    + " windows");
            return;
        }
        mUsage =
                new UsageSettings(
                        window, retention, closeDelay, mUsage.maxTotals(), mUsage.maxHandovers());
    }

    @Override
    public void install(ComponentContext context) {
        NodeIdentity identity = context.require(NodeIdentity.class);
        InvariantMonitor invariants = context.require(InvariantMonitor.class);
        Platform platform = context.require(Platform.class);
        startCounting(context, identity, platform);
        DeferredInbox<WindowCloserEvent> events = new DeferredInbox<>();
        WindowCloserActions closer =
                new WindowCloserActions(
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
                new WindowCloser(mUsage, mRequestTimeout, new ReportJson(), invariants, now);
        events.mInbox =
                context.startDuty(duty, CLOSER_RING_CAPACITY, OverflowPolicy.REFUSE, closer);
        closer.start();
    }

    private void startCounting(ComponentContext context, NodeIdentity identity, Platform platform) {
        PeerMessages peers = context.require(PeerMessages.class);
        DeferredInbox<UsageEvent> events = new DeferredInbox<>();
        UsageActions actions =
                new UsageActions(
                        platform.tables(), peers, identity.startId(), context.meters(), events);
        UsageDuty duty =
                new UsageDuty(
                        new StartId(identity.instance(), identity.startId()),
                        identity.failureDomain(),
                        mUsage,
                        context.time().nanoTime(),
                        context.random("usage").nextLong(UsageSettings.COMMIT_INTERVAL_NANOS));
        Inbox<UsageEvent> ring =
                context.startDuty(duty, RING_CAPACITY, OverflowPolicy.REFUSE, actions);
        events.mInbox = ring;
        context.closer().register("usage totals", () -> stop(ring, actions));
        peers.subscribe(
                UsageHandover.class,
                (sender, message) -> HandoverMessages.decode(message).forEach(events::emit));
        UsageRecorder recorder = (key, counts) -> offer(context, ring, key, counts);
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
            ComponentContext context, Inbox<UsageEvent> ring, UsageKey key, UsageCounts counts) {
        long now = context.time().wallMillis();
        boolean accepted = ring.offer(new UsageEvent.Used(now, key, counts));
        if (!accepted) {
            context.meters()
                    .counter("fuchsialever.usage.lost", "reason", "ring-full")
                    .increment(counts.requests());
        }
        return accepted;
    }

    private static void stop(Inbox<UsageEvent> ring, UsageActions actions)
            throws InterruptedException {
        ring.offer(new UsageEvent.Stop());
        if (!actions.stopped().await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            LOG.warning(
                    "The last usage totals were not written within "
                            + STOP_TIMEOUT_SECONDS
                            + " s; a peer writes those of the last handover.");
        }
    }

    private static long millis(SettingsReader settings, String key, long defaultMillis) {
        return settings.duration(SECTION, key, Duration.ofMillis(defaultMillis)).toMillis();
    }

    /** Passes events to a ring that is created after its producers. */
    private static final class DeferredInbox<E> implements ActionSink<E> {
        private volatile @Nullable Inbox<E> mInbox;

        @Override
        public void emit(E event) {
            Inbox<E> target = mInbox;
            if (target == null || !target.offer(event)) {
                LOG.warning("Ring is full; an event of type " + event.getClass() + " was lost.");
            }
        }
    }
}
