package org.fuchsialever.node.audit;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.audit.AuditDuty;
import org.fuchsialever.decisions.audit.AuditEvent;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.dispatch.CallObservers;
import org.fuchsialever.services.Platform;
import org.jspecify.annotations.Nullable;

/** Collects and stores audit records. */
public final class AuditComponent implements Component {
    private static final PartLogger LOG = PartLogger.of("audit");
    private static final int RING_CAPACITY = 65_536;
    private static final int MAX_WAITING_BATCHES = 20;
    private static final long INDEX_JITTER_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long STOP_TIMEOUT_SECONDS = 5;

    @Override
    public String pluginName() {
        return "audit";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(NodeIdentity.class, Platform.class, CallObservers.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(AuditRecorder.class);
    }

    @Override
    public void install(ComponentContext context) {
        NodeIdentity identity = context.require(NodeIdentity.class);
        Platform platform = context.require(Platform.class);
        String start = identity.instance().value() + "/" + identity.startId();
        DeferredInbox events = new DeferredInbox();
        AuditActions actions =
                new AuditActions(
                        platform.tables(), platform.objects(), start, context.meters(), events);
        AuditDuty duty =
                new AuditDuty(
                        start,
                        new AuditJson(),
                        MAX_WAITING_BATCHES,
                        context.time().nanoTime(),
                        context.random("audit").nextLong(INDEX_JITTER_NANOS));
        Inbox<AuditEvent> ring =
                context.startDuty(duty, RING_CAPACITY, OverflowPolicy.REFUSE, actions);
        events.mInbox = ring;
        context.closer()
                .register(
                        "audit records",
                        () -> {
                            ring.offer(new AuditEvent.Stop(context.time().wallMillis()));
                            if (!actions.stopped().await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                                LOG.warning(
                                        "The end marker was not stored within "
                                                + STOP_TIMEOUT_SECONDS
                                                + " s.");
                            }
                        });
        AuditRecorder recorder =
                new RingRecorder(context.time(), context.meters(), events::tryEmit);
        context.require(CallObservers.class).add(new CallRecords(recorder));
        context.provide(AuditRecorder.class, recorder);
    }

    /** Passes events to the ring, which is created after the actions that emit them. */
    private static final class DeferredInbox implements ActionSink<AuditEvent> {
        private volatile @Nullable Inbox<AuditEvent> mInbox;

        boolean tryEmit(AuditEvent event) {
            Inbox<AuditEvent> target = mInbox;
            return target != null && target.offer(event);
        }

        @Override
        public void emit(AuditEvent event) {
            if (!tryEmit(event)) {
                LOG.warning("Ring is full; an event of type " + event.getClass() + " was lost.");
            }
        }
    }
}
