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

/** Carries out what the forward duty decides. */
final class ForwardRunner implements ActionSink<ForwardAction>, ForwardPort {
    private static final String PART = "forward";

    /** Calls in progress above which new ones are refused; each has one event to come. */
    private static final int MOST_CALLS = 4_000;

    private final ExchangeClient client;
    private final Inbox<ForwardEvent> inbox;
    private final TimeSource time;
    private final TraceLog trace;
    private final MeterRegistry meters;
    private final AtomicLong numbers = new AtomicLong();
    private final Map<Long, ForwardCallHandler> payloads = new ConcurrentHashMap<>();
    private final Map<AttemptKey, Exchange> exchanges = new ConcurrentHashMap<>();
    private final CopyOnWriteArrayList<UsageListener> usage = new CopyOnWriteArrayList<>();

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
        usage.add(listener);
    }

    @Override
    public long submit(LongFunction<ForwardCall> work, ForwardCallHandler payload) {
        long number = numbers.incrementAndGet();
        payloads.put(number, payload);
        boolean accepted =
                payloads.size() <= MOST_CALLS
                        && inbox.offer(new ForwardEvent.Arrived(work.apply(number)));
        if (!accepted) {
            payloads.remove(number);
            refused(payload, ForwardRefusal.OVERLOADED, 1_000);
        }
        return number;
    }

    @Override
    public void cancel(long number) {
        ForwardCallHandler payload = payloads.remove(number);
        if (payload != null) {
            trace.sampled(PART, "withdrawn").with("id", payload.requestId()).write();
            inbox.offer(new ForwardEvent.Cancelled(number));
        }
    }

    @Override
    public int inProgress() {
        return payloads.size();
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
            ForwardCallHandler payload = payloads.remove(deliver.number());
            if (payload != null) {
                payload.deliver(deliver.attempt());
            }
        } else if (action instanceof ForwardAction.Refuse refuse) {
            ForwardCallHandler payload = payloads.remove(refuse.number());
            if (payload != null) {
                refused(payload, refuse.reason(), refuse.retryAfterMillis());
            }
        }
    }

    private void refused(ForwardCallHandler payload, ForwardRefusal reason, long retryAfterMillis) {
        meters.counter("fuchsialever.forward.refusals", "reason", reason.name()).increment();
        trace.line(PART, "refused")
                .with("id", payload.requestId())
                .with("reason", reason.name())
                .with("notRun", String.valueOf(reason.isNotRun()))
                .with("retryAfterMillis", retryAfterMillis)
                .write();
        payload.refuse(reason, retryAfterMillis);
    }

    private void start(ForwardAction.Start start) {
        ForwardCall work = start.call();
        AttemptKey key = new AttemptKey(work.number(), start.attempt());
        ForwardCallHandler payload = payloads.get(work.number());
        if (payload == null) {
            // Withdrawn while the duty decided; its event is under way.
            inbox.offer(
                    new ForwardEvent.AttemptEnded(
                            key.number,
                            key.attempt,
                            AttemptReport.of(AttemptOutcome.NOT_CONNECTED)));
            return;
        }
        long now = time.nanoTime();
        long remaining =
                work.deadlineNanos() == Duty.NO_TIMER
                        ? Long.MAX_VALUE
                        : TimeUnit.NANOSECONDS.toMillis(work.deadlineNanos() - now);
        meters.counter("fuchsialever.forward.attempts", "reason", start.reason().name())
                .increment();
        trace.sampled(PART, "attempt")
                .with("id", payload.requestId())
                .with("attempt", start.attempt())
                .with("reason", start.reason().name())
                .with("upstream", start.upstream().id())
                .with("load", start.load())
                .with("waitedMillis", TimeUnit.NANOSECONDS.toMillis(now - work.arrivedNanos()))
                .write();
        Attempt attempt = new Attempt(key, payload, payload.reader(start.attempt()), start, now);
        Exchange exchange = client.send(payload.request(start.upstream(), remaining), attempt);
        exchanges.put(key, exchange);
        if (attempt.ended) {
            exchanges.remove(key);
        }
    }

    private record AttemptKey(long number, int attempt) {}

    /** Passes what arrives in the event loop to the reader and the end to the duty. */
    private final class Attempt implements ExchangeListener {
        private final AttemptKey key;
        private final ForwardCallHandler payload;
        private final AttemptReader reader;
        private final ForwardAction.Start start;
        private final long begin;
        private final long wallMillis = time.wallMillis();
        private volatile boolean ended;

        Attempt(
                AttemptKey key,
                ForwardCallHandler payload,
                AttemptReader reader,
                ForwardAction.Start start,
                long begin) {
            this.key = key;
            this.payload = payload;
            this.reader = reader;
            this.start = start;
            this.begin = begin;
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
            long nanos = time.nanoTime() - begin;
            String outcome = report.outcome().name();
            String kind = start.call().kind().name();
            meters.timer("fuchsialever.forward.attempt", "kind", kind, "outcome", outcome)
                    .record(nanos, TimeUnit.NANOSECONDS);
            trace.sampled(PART, "attempt-ended")
                    .with("id", payload.requestId())
                    .with("attempt", key.attempt)
                    .with("upstream", start.upstream().id())
                    .with("outcome", outcome)
                    .with("millis", TimeUnit.NANOSECONDS.toMillis(nanos))
                    .write();
            if (report.outcome().mayHaveRun() && !payload.meteredTeam().isEmpty()) {
                usage.forEach(
                        listener -> listener.onCallStarted(payload.meteredTeam(), wallMillis));
            }
            inbox.offer(new ForwardEvent.AttemptEnded(key.number, key.attempt, report));
        }
    }
}
