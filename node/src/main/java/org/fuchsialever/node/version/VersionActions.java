package org.fuchsialever.node.version;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.decisions.version.VersionAction;
import org.fuchsialever.decisions.version.VersionEvent;
import org.fuchsialever.decisions.version.VersionEvent.OrderResult;
import org.fuchsialever.decisions.version.VersionOrder;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import org.fuchsialever.services.hosted.UpstreamOrders;
import reactor.core.publisher.Mono;

/** Sends load orders to upstreams and reads their reports, for the version duty. */
final class VersionActions implements ActionSink<VersionAction> {
    private static final String PART = "versions";

    private final UpstreamOrders mOrders;
    private final Leases mLeases;
    private final Inbox<VersionEvent> mInbox;
    private final TraceLog mTrace;
    private final MeterRegistry mMeters;
    private final Map<String, AtomicInteger> mEngineCounts = new HashMap<>();

    VersionActions(
            UpstreamOrders orders,
            Leases leases,
            Inbox<VersionEvent> inbox,
            TraceLog trace,
            MeterRegistry meters) {
        mOrders = orders;
        mLeases = leases;
        mInbox = inbox;
        mTrace = trace;
        mMeters = meters;
    }

    @Override
    public void emit(VersionAction action) {
        if (action instanceof VersionAction.ReadReport read) {
            report(read);
        } else if (action instanceof VersionAction.SendOrder send) {
            order(send);
        } else if (action instanceof VersionAction.NoteShares note) {
            note.shares().forEach((model, share) -> noteShare(note.service(), model, share));
        } else if (action instanceof VersionAction.ForgetShares) {
            mEngineCounts.values().forEach(count -> count.set(0));
        }
    }

    private void noteShare(String service, String model, VersionAction.EngineShare share) {
        mTrace.line(PART, "share")
                .with("service", service)
                .with("model", model)
                .with("engines", share.engines())
                .with("tokensPerSecond", Math.round(share.tokensPerSecond()))
                .write();
        mEngineCounts
                .computeIfAbsent(
                        model,
                        name ->
                                mMeters.gauge(
                                        "fuchsialever.versions.engines",
                                        Tags.of("service", service, "model", name),
                                        new AtomicInteger()))
                .set(share.engines());
    }

    private void report(VersionAction.ReadReport read) {
        String id = read.upstream().id();
        mOrders.report(read.upstream())
                .subscribe(
                        report ->
                                mInbox.offer(
                                        new VersionEvent.Reported(
                                                id,
                                                report.sequence(),
                                                report.versions(),
                                                report.busy())),
                        failure -> {
                            mTrace.line(PART, "report-failed")
                                    .with("upstream", id)
                                    .with("reason", String.valueOf(failure.getMessage()))
                                    .write();
                            mInbox.offer(new VersionEvent.ReportFailed(id));
                        });
    }

    private void order(VersionAction.SendOrder send) {
        VersionOrder order = send.order();
        String id = order.upstream().id();
        // The lease may have ended since the duty decided.
        boolean mayAct =
                mLeases.heldFor(VersionComponent.ROLE, UpstreamOrders.TIME_LIMIT)
                        .map(HeldLease::fencing)
                        .exists(fencing -> fencing == send.fencing());
        if (!mayAct) {
            mTrace.line(PART, "order-withheld").with("upstream", id).write();
            mInbox.offer(new VersionEvent.OrderEnded(id, OrderResult.REFUSED));
            return;
        }
        mOrders.load(order, send.fencing(), send.sequence())
                .onErrorResume(
                        PlatformException.class,
                        failure ->
                                Mono.just(
                                        failure.effect() == Effect.NONE
                                                ? OrderResult.REFUSED
                                                : OrderResult.MAY_BE_LOADING))
                .subscribe(
                        result -> {
                            mMeters.counter("fuchsialever.versions.orders", "answer", result.name())
                                    .increment();
                            mTrace.line(PART, "order")
                                    .with("upstream", id)
                                    .with("model", order.model())
                                    .with("version", order.version())
                                    .with("fencing", send.fencing())
                                    .with("sequence", send.sequence())
                                    .with("answer", result.name())
                                    .write();
                            mInbox.offer(new VersionEvent.OrderEnded(id, result));
                        },
                        failure -> {
                            mTrace.line(PART, "order-failed")
                                    .with("upstream", id)
                                    .with("reason", String.valueOf(failure.getMessage()))
                                    .write();
                            mInbox.offer(new VersionEvent.OrderEnded(id, OrderResult.REFUSED));
                        });
    }
}
