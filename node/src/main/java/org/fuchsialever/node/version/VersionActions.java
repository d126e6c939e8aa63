package org.fuchsialever.node.version;

import io.micrometer.core.instrument.MeterRegistry;
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

/** Sends orders and asks for reports. */
final class VersionActions implements ActionSink<VersionAction> {
    private static final String PART = "versions";

    private final UpstreamOrders orders;
    private final Leases leases;
    private final Inbox<VersionEvent> inbox;
    private final TraceLog trace;
    private final MeterRegistry meters;

    VersionActions(
            UpstreamOrders orders,
            Leases leases,
            Inbox<VersionEvent> inbox,
            TraceLog trace,
            MeterRegistry meters) {
        this.orders = orders;
        this.leases = leases;
        this.inbox = inbox;
        this.trace = trace;
        this.meters = meters;
    }

    @Override
    public void emit(VersionAction action) {
        if (action instanceof VersionAction.ReadReport read) {
            report(read);
        } else if (action instanceof VersionAction.SendOrder send) {
            order(send);
        }
    }

    private void report(VersionAction.ReadReport read) {
        String id = read.upstream().id();
        orders.report(read.upstream())
                .subscribe(
                        report ->
                                inbox.offer(
                                        new VersionEvent.Reported(
                                                id,
                                                report.sequence(),
                                                report.versions(),
                                                report.busy())),
                        failure -> {
                            trace.line(PART, "report-failed")
                                    .with("upstream", id)
                                    .with("reason", String.valueOf(failure.getMessage()))
                                    .write();
                            inbox.offer(new VersionEvent.ReportFailed(id));
                        });
    }

    private void order(VersionAction.SendOrder send) {
        VersionOrder order = send.order();
        String id = order.upstream().id();
        // The lease may have ended since the duty decided.
        boolean mayAct =
                leases.held(VersionComponent.ROLE)
                        .map(HeldLease::fencing)
                        .exists(fencing -> fencing == send.fencing());
        if (!mayAct) {
            trace.line(PART, "order-withheld").with("upstream", id).write();
            inbox.offer(new VersionEvent.OrderEnded(id, OrderResult.REFUSED));
            return;
        }
        orders.load(order, send.fencing(), send.sequence())
                .onErrorResume(
                        PlatformException.class,
                        failure ->
                                Mono.just(
                                        failure.effect() == Effect.NONE
                                                ? OrderResult.REFUSED
                                                : OrderResult.MAY_BE_LOADING))
                .subscribe(
                        answer -> {
                            meters.counter("fuchsialever.versions.orders", "answer", answer.name())
                                    .increment();
                            trace.line(PART, "order")
                                    .with("upstream", id)
                                    .with("model", order.model())
                                    .with("version", order.version())
                                    .with("fencing", send.fencing())
                                    .with("sequence", send.sequence())
                                    .with("answer", answer.name())
                                    .write();
                            inbox.offer(new VersionEvent.OrderEnded(id, answer));
                        },
                        failure -> {
                            trace.line(PART, "order-failed")
                                    .with("upstream", id)
                                    .with("reason", String.valueOf(failure.getMessage()))
                                    .write();
                            inbox.offer(new VersionEvent.OrderEnded(id, OrderResult.REFUSED));
                        });
    }
}
