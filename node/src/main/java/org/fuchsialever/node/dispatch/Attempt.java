package org.fuchsialever.node.dispatch;

import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.node.upstream.UpstreamCall;
import org.fuchsialever.node.upstream.UpstreamException;
import org.fuchsialever.node.upstream.UpstreamResponsePart;
import org.reactivestreams.Subscription;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.BaseSubscriber;

/**
 * One attempt of an exchange. Requests one part at a time, so that back-pressure of the caller
 * reaches the upstream. The timeout runs only while a part is requested. State is guarded by the
 * monitor of the exchange's sink.
 */
final class Attempt extends BaseSubscriber<UpstreamResponsePart> {
    private final int number;
    private final UpstreamCall call;
    private final ExchangeServices services;
    private final CallExchange exchange;
    private final Object lock;
    private final long startedAtNanos;
    private final Disposable.Swap timer = Disposables.swap();
    private long firstByteNanos = -1;
    private boolean awaitingPart;
    private boolean timeoutScheduled;
    private long requestedAtNanos;
    private long requestCount;
    private int promptTokens;
    private int generatedTokens;
    private boolean ended;

    Attempt(
            int number,
            UpstreamCall call,
            ExchangeServices services,
            CallExchange exchange,
            Object lock) {
        this.number = number;
        this.call = call;
        this.services = services;
        this.exchange = exchange;
        this.lock = lock;
        this.startedAtNanos = services.time().nanoTime();
    }

    int number() {
        return number;
    }

    UpstreamId upstreamId() {
        return call.upstream().id();
    }

    int promptTokens() {
        return promptTokens;
    }

    int generatedTokens() {
        return generatedTokens;
    }

    void start() {
        services.client().send(call).subscribe(this);
    }

    /** Requests the next part unless a request is outstanding. */
    void requestNext() {
        synchronized (lock) {
            if (awaitingPart || ended) {
                return;
            }
            awaitingPart = true;
            requestCount++;
            requestedAtNanos = services.time().nanoTime();
            scheduleTimeout(timeoutNanos());
        }
        request(1);
    }

    /** Aborts the attempt: closes its connection and cancels the request at an engine. */
    void abort() {
        synchronized (lock) {
            ended = true;
            timer.dispose();
        }
        cancel();
        if (call.kind() == UpstreamKind.ENGINE) {
            services.client().cancel(call.upstream(), call.id()).subscribe();
        }
    }

    @Override
    protected void hookOnSubscribe(Subscription subscription) {
        requestNext();
    }

    @Override
    protected void hookOnNext(UpstreamResponsePart part) {
        synchronized (lock) {
            awaitingPart = false;
            if (firstByteNanos < 0) {
                firstByteNanos = services.time().nanoTime() - startedAtNanos;
                // The first-byte timeout may be longer than the progress timeout.
                timer.update(Disposables.disposed());
                timeoutScheduled = false;
            }
            if (part instanceof UpstreamResponsePart.EngineEvent event) {
                generatedTokens += event.chunk().isDefined() ? 1 : 0;
                promptTokens = Math.max(promptTokens, event.promptTokens());
            }
            exchange.handlePart(this, part);
        }
    }

    @Override
    protected void hookOnComplete() {
        end(AttemptResult.COMPLETED);
    }

    @Override
    protected void hookOnError(Throwable failure) {
        end(
                failure instanceof UpstreamException known
                        ? known.result()
                        : AttemptResult.CONNECTION_LOST);
    }

    /** Reports the end of the attempt; later calls have no effect. */
    void end(AttemptResult result) {
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            timer.dispose();
            long total = services.time().nanoTime() - startedAtNanos;
            exchange.attemptEnded(
                    this,
                    new AttemptReport(
                            result, promptTokens, generatedTokens, firstByteNanos, total));
        }
    }

    private long timeoutNanos() {
        boolean engine = call.kind() == UpstreamKind.ENGINE;
        if (firstByteNanos < 0) {
            return (engine
                            ? services.timeouts().engineFirstByte()
                            : services.timeouts().plainFirstByte())
                    .toNanos();
        }
        return (engine ? services.timeouts().engineProgress() : services.timeouts().plainProgress())
                .toNanos();
    }

    /** One timer serves many parts: if it fires early, it is rescheduled for the remaining time. */
    private void scheduleTimeout(long delayNanos) {
        if (!timeoutScheduled) {
            timeoutScheduled = true;
            timer.update(
                    services.timers()
                            .schedule(this::checkTimeout, delayNanos, TimeUnit.NANOSECONDS));
        }
    }

    private void checkTimeout() {
        synchronized (lock) {
            timeoutScheduled = false;
            if (ended || !awaitingPart) {
                return;
            }
            long remainingNanos = requestedAtNanos + timeoutNanos() - services.time().nanoTime();
            if (remainingNanos > 0) {
                scheduleTimeout(remainingNanos);
                return;
            }
        }
        long request = requestCount;
        services.client()
                .probe(call.upstream(), call.kind())
                .subscribe(alive -> handleProbeResult(request, alive));
    }

    private void handleProbeResult(long request, boolean alive) {
        services.meters().probeEnded(alive);
        services.ring().report(new DispatchEvent.UpstreamProbed(call.upstream().id(), alive));
        synchronized (lock) {
            if (ended) {
                return;
            }
            if (!awaitingPart || request != requestCount) {
                if (awaitingPart) {
                    scheduleTimeout(timeoutNanos());
                }
                return;
            }
            end(AttemptResult.SILENT);
        }
        abort();
    }
}
