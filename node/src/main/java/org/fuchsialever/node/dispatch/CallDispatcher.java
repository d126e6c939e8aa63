package org.fuchsialever.node.dispatch;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.dispatch.DispatchRequest;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.Call;
import org.fuchsialever.frontend.CallAnswer;
import org.fuchsialever.frontend.CallPort;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.upstream.UpstreamCall;
import org.fuchsialever.node.upstream.UpstreamClient;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

/** Translates calls to events of the dispatch duty, and its actions to attempts and answers. */
final class CallDispatcher implements CallPort, ActionSink<DispatchAction> {
    private static final PartLogger LOG = PartLogger.of("dispatch");

    private final Map<RequestId, CallExchange> exchanges = new ConcurrentHashMap<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    private final int maxCalls;
    private final UpstreamClient client;
    private final TimeSource time;
    private final MeterRegistry meters;
    private volatile @Nullable Inbox<DispatchEvent> inbox;

    /**
     * Creates a dispatcher.
     *
     * @param maxCalls the most calls in progress; the ring of the duty must hold several events for
     *     each, so that the end of an attempt always finds room
     */
    CallDispatcher(int maxCalls, UpstreamClient client, TimeSource time, MeterRegistry meters) {
        this.maxCalls = maxCalls;
        this.client = client;
        this.time = time;
        this.meters = meters;
    }

    void connect(Inbox<DispatchEvent> ring) {
        inbox = ring;
    }

    /** Returns the latch that opens when no call is queued or running after a drain. */
    CountDownLatch drained() {
        return drained;
    }

    @Override
    public Mono<Either<Refusal, CallAnswer>> call(Call call) {
        if (exchanges.size() >= maxCalls) {
            return Mono.just(Either.left(Refusal.of(RefusalReason.QUEUE_FULL)));
        }
        CallExchange exchange = new CallExchange(call, this::send);
        exchanges.put(call.id(), exchange);
        send(new DispatchEvent.RequestArrived(toRequest(call)));
        return exchange.answer();
    }

    @Override
    public void emit(DispatchAction action) {
        if (action instanceof DispatchAction.StartAttempt start) {
            startAttempt(start);
        } else if (action instanceof DispatchAction.CancelAttempt cancel) {
            CallExchange exchange = exchanges.get(cancel.request());
            if (exchange != null) {
                exchange.cancelAttempt(cancel.attempt());
            }
        } else if (action instanceof DispatchAction.Retry retry) {
            meters.counter("fuchsialever.retries", "reason", retry.reason().code()).increment();
        } else if (action instanceof DispatchAction.Refuse refuse) {
            CallExchange exchange = exchanges.remove(refuse.request());
            if (exchange != null) {
                exchange.refuse(new Refusal(refuse.reason(), refuse.retryAfter(), ""));
            }
        } else if (action instanceof DispatchAction.Finish finish) {
            CallExchange exchange = exchanges.remove(finish.request());
            if (exchange != null) {
                exchange.finish();
            }
        } else if (action instanceof DispatchAction.Drained) {
            drained.countDown();
        }
    }

    private void startAttempt(DispatchAction.StartAttempt start) {
        CallExchange exchange = exchanges.get(start.request());
        if (exchange == null) {
            return;
        }
        Call call = exchange.call();
        UpstreamCall upstreamCall =
                new UpstreamCall(
                        call.id(),
                        start.upstream(),
                        call.method(),
                        call.uri(),
                        call.headers(),
                        call.body());
        exchange.start(start.attempt(), client.send(upstreamCall));
    }

    private DispatchRequest toRequest(Call call) {
        return new DispatchRequest(
                call.id(),
                call.caller().team(),
                call.route(),
                call.shape().promptTokens(),
                call.shape().maxTokens(),
                call.shape().prefixHash(),
                false,
                0,
                time.nanoTime() + call.route().deadline().toNanos());
    }

    private void send(DispatchEvent event) {
        Inbox<DispatchEvent> ring = inbox;
        if (ring == null || !ring.offer(event)) {
            LOG.warning("Ring is full; an event of type " + event.getClass() + " was lost.");
        }
    }
}
