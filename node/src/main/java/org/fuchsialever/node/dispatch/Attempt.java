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
 * One attempt of an exchange. Requests one part at a time, so that a slow caller slows its upstream
 * down, and watches for silence only while a part is requested. State is guarded by the monitor of
 * the exchange's target.
 */
final class Attempt extends BaseSubscriber<UpstreamResponsePart> {
    private final int number;
    private final UpstreamCall call;
    private final ExchangeServices services;
    private final CallExchange exchange;
    private final Object lock;
    private final long startedNanos;
    private final Disposable.Swap timer = Disposables.swap();
    private long firstByteNanos = -1;
    private boolean waiting;
    private boolean watched;
    private long waitingSinceNanos;
    private long requests;
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
        this.startedNanos = services.time().nanoTime();
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

    /** Requests the next part unless one has been requested. */
    void next() {
        synchronized (lock) {
            if (waiting || ended) {
                return;
            }
            waiting = true;
            requests++;
            waitingSinceNanos = services.time().nanoTime();
            watch(limitNanos());
        }
        request(1);
    }

    /** Ends the attempt from this side: closes its connection and cancels its work at an engine. */
    void stop() {
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
        next();
    }

    @Override
    protected void hookOnNext(UpstreamResponsePart part) {
        synchronized (lock) {
            waiting = false;
            if (firstByteNanos < 0) {
                firstByteNanos = services.time().nanoTime() - startedNanos;
                // The timer of the first byte may be longer than the one of progress.
                timer.update(Disposables.disposed());
                watched = false;
            }
            if (part instanceof UpstreamResponsePart.EngineEvent event) {
                generatedTokens += event.chunk().isDefined() ? 1 : 0;
                promptTokens = Math.max(promptTokens, event.promptTokens());
            }
            exchange.pass(this, part);
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

    /** Reports the end once. */
    void end(AttemptResult result) {
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            timer.dispose();
            long total = services.time().nanoTime() - startedNanos;
            exchange.ended(
                    this,
                    new AttemptReport(
                            result, promptTokens, generatedTokens, firstByteNanos, total));
        }
    }

    private long limitNanos() {
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

    /** One timer serves many parts: when it fires early, it is set again for the rest. */
    private void watch(long delayNanos) {
        if (!watched) {
            watched = true;
            timer.update(
                    services.timers()
                            .schedule(this::checkSilence, delayNanos, TimeUnit.NANOSECONDS));
        }
    }

    private void checkSilence() {
        synchronized (lock) {
            watched = false;
            if (ended || !waiting) {
                return;
            }
            long rest = waitingSinceNanos + limitNanos() - services.time().nanoTime();
            if (rest > 0) {
                watch(rest);
                return;
            }
        }
        long request = requests;
        services.client()
                .probe(call.upstream(), call.kind())
                .subscribe(alive -> probed(request, alive));
    }

    private void probed(long request, boolean alive) {
        services.meters().probed(alive);
        services.ring().report(new DispatchEvent.UpstreamProbed(call.upstream().id(), alive));
        synchronized (lock) {
            if (ended) {
                return;
            }
            if (!waiting || request != requests) {
                if (waiting) {
                    watch(limitNanos());
                }
                return;
            }
            end(AttemptResult.SILENT);
        }
        stop();
    }
}
