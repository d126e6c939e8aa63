package org.fuchsialever.node.forward;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.AttemptReport;
import org.fuchsialever.decisions.forward.ForwardAction;
import org.fuchsialever.decisions.forward.ForwardCall;
import org.fuchsialever.decisions.forward.ForwardEvent;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.exchange.Exchange;
import org.fuchsialever.services.exchange.ExchangeClient;
import org.fuchsialever.services.exchange.ExchangeListener;
import org.fuchsialever.services.exchange.ExchangeOutcome;

/** Executes the actions of the forward duty: sends attempts and reports outcomes. */
final class ForwardRunner implements ActionSink<ForwardAction>, ForwardPort {
    private static final String PART = "forward";

    /** Limit of calls in flight; each has one pending event in the ring. */
    private static final int MAX_CALLS = 4_000;

    private final ExchangeClient client;
    private final Inbox<ForwardEvent> inbox;
    private final TimeSource time;
    private final TraceLog trace;
    private final MeterRegistry meters;
    private final AtomicLong lastNumber = new AtomicLong();
    private final Map<Long, ForwardCallHandler> handlers = new ConcurrentHashMap<>();
    private final Map<AttemptKey, Exchange> exchanges = new ConcurrentHashMap<>();
    private final CopyOnWriteArrayList<UsageListener> usageListeners = new CopyOnWriteArrayList<>();

    ForwardRunner(
            ExchangeClient client,
            Inbox<ForwardEvent> inbox,
            TimeSource time,
            TraceLog trace,
            MeterRegistry meters) {
        this.client = client;
        this.inbox = inbox;
        this.time = time;
        this.trace = trace;
        this.meters = meters;
    }

    void addUsageListener(UsageListener listener) {
        usageListeners.add(listener);
    }

    @Override
    public long submit(LongFunction<ForwardCall> callFactory, ForwardCallHandler handler) {
        long number = lastNumber.incrementAndGet();
        handlers.put(number, handler);
        boolean accepted =
                handlers.size() <= MAX_CALLS
                        && inbox.offer(new ForwardEvent.Arrived(callFactory.apply(number)));
        if (!accepted) {
            handlers.remove(number);
            refuse(handler, ForwardRefusal.OVERLOADED, 1_000);
        }
        return number;
    }

    @Override
    public void cancel(long number) {
        ForwardCallHandler handler = handlers.remove(number);
        if (handler != null) {
            trace.sampled(PART, "withdrawn").with("id", handler.requestId()).write();
            inbox.offer(new ForwardEvent.Cancelled(number));
        }
    }

    @Override
    public int inProgress() {
        return handlers.size();
    }

    @Override
    public void emit(ForwardAction action) {
        if (action instanceof ForwardAction.Start start) {
            start(start);
        } else if (action instanceof ForwardAction.Cancel cancel) {
            Exchange exchange = exchanges.get(new AttemptKey(cancel.number(), cancel.attempt()));
            if (exchange != null) {
                exchange.cancel();
            }
        } else if (action instanceof ForwardAction.Deliver deliver) {
            ForwardCallHandler handler = handlers.remove(deliver.number());
            if (handler != null) {
                handler.deliver(deliver.attempt());
            }
        } else if (action instanceof ForwardAction.Refuse refuse) {
            ForwardCallHandler handler = handlers.remove(refuse.number());
            if (handler != null) {
                refuse(handler, refuse.reason(), refuse.retryAfterMillis());
            }
        }
    }

    private void refuse(ForwardCallHandler handler, ForwardRefusal reason, long retryAfterMillis) {
        meters.counter("fuchsialever.forward.refusals", "reason", reason.name()).increment();
        trace.line(PART, "refused")
                .with("id", handler.requestId())
                .with("reason", reason.name())
                .with("notRun", String.valueOf(reason.isNotRun()))
                .with("retryAfterMillis", retryAfterMillis)
                .write();
        handler.refuse(reason, retryAfterMillis);
    }

    private void start(ForwardAction.Start start) {
        ForwardCall call = start.call();
        AttemptKey key = new AttemptKey(call.number(), start.attempt());
        ForwardCallHandler handler = handlers.get(call.number());
        if (handler == null) {
            // Cancelled while the duty decided; the event of the cancellation is in the ring.
            inbox.offer(
                    new ForwardEvent.AttemptEnded(
                            key.number,
                            key.attempt,
                            AttemptReport.of(AttemptOutcome.NOT_CONNECTED)));
            return;
        }
        long now = time.nanoTime();
        long remaining =
                call.deadlineNanos() == Duty.NO_TIMER
                        ? Long.MAX_VALUE
                        : TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - now);
        meters.counter("fuchsialever.forward.attempts", "reason", start.reason().name())
                .increment();
        trace.sampled(PART, "attempt")
                .with("id", handler.requestId())
                .with("attempt", start.attempt())
                .with("reason", start.reason().name())
                .with("upstream", start.upstream().id())
                .with("load", start.load())
                .with("waitedMillis", TimeUnit.NANOSECONDS.toMillis(now - call.arrivedNanos()))
                .write();
        Attempt attempt = new Attempt(key, handler, handler.reader(start.attempt()), start, now);
        Exchange exchange = client.send(handler.request(start.upstream(), remaining), attempt);
        exchanges.put(key, exchange);
        if (attempt.ended) {
            exchanges.remove(key);
        }
    }

    private record AttemptKey(long number, int attempt) {}

    /** Passes a response to the reader, in the event loop, and its end to the duty. */
    private final class Attempt implements ExchangeListener {
        private final AttemptKey key;
        private final ForwardCallHandler handler;
        private final AttemptReader reader;
        private final ForwardAction.Start start;
        private final long startNanos;
        private final long wallMillis = time.wallMillis();
        private volatile boolean ended;

        Attempt(
                AttemptKey key,
                ForwardCallHandler handler,
                AttemptReader reader,
                ForwardAction.Start start,
                long startNanos) {
            this.key = key;
            this.handler = handler;
            this.reader = reader;
            this.start = start;
            this.startNanos = startNanos;
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            reader.onHead(status, headers);
        }

        @Override
        public void onContent(byte[] bytes) {
            reader.onContent(bytes);
        }

        @Override
        public void onEnd(ExchangeOutcome end) {
            AttemptReport report = reader.onEnd(end);
            ended = true;
            exchanges.remove(key);
            long elapsedNanos = time.nanoTime() - startNanos;
            String outcome = report.outcome().name();
            String kind = start.call().kind().name();
            meters.timer("fuchsialever.forward.attempt", "kind", kind, "outcome", outcome)
                    .record(elapsedNanos, TimeUnit.NANOSECONDS);
            trace.sampled(PART, "attempt-ended")
                    .with("id", handler.requestId())
                    .with("attempt", key.attempt)
                    .with("upstream", start.upstream().id())
                    .with("outcome", outcome)
                    .with("millis", TimeUnit.NANOSECONDS.toMillis(elapsedNanos))
                    .write();
            if (report.outcome().mayHaveRun() && !handler.meteredTeam().isEmpty()) {
                usageListeners.forEach(
                        listener -> listener.onCallStarted(handler.meteredTeam(), wallMillis));
            }
            inbox.offer(new ForwardEvent.AttemptEnded(key.number, key.attempt, report));
        }
    }
}
