package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.node.forward.AttemptReader;
import org.fuchsialever.node.forward.ForwardCallHandler;
import org.fuchsialever.node.forward.ServerSentEvent;
import org.fuchsialever.node.forward.ServerSentEventParser;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.hosted.UpstreamResponseHead;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/** A live call, whose caller waits for the response. */
final class LiveCallHandler implements ForwardCallHandler {
    /** Bounds attempts that the deadline of the call has not ended. */
    private static final long MAX_ATTEMPT_MILLIS = 120_000;

    /** Below the 2 s after which callers time out, so that the stream resumes elsewhere first. */
    private static final Duration RESUMABLE_IDLE_TIMEOUT = Duration.ofMillis(1_200);

    private static final int MIN_FAILURE_STATUS = 300;

    /** Statuses that tell the caller that the call was not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final EntryCall call;
    private final UpstreamProtocol protocol;
    private final Refusals refusals;
    private final MonoSink<EntryResponse> sink;
    private final Map<Integer, Reader> readers = new ConcurrentHashMap<>();
    private Sinks.@Nullable Many<byte[]> stream;
    private String lastEventId;
    private int streamedAttempt;

    LiveCallHandler(
            EntryCall call,
            UpstreamProtocol protocol,
            Refusals refusals,
            MonoSink<EntryResponse> sink) {
        this.call = call;
        this.protocol = protocol;
        this.refusals = refusals;
        this.sink = sink;
        this.lastEventId = "";
    }

    @Override
    public String requestId() {
        return call.requestId();
    }

    @Override
    public String meteredTeam() {
        return call.team();
    }

    @Override
    public synchronized ExchangeRequest request(FleetUpstream upstream, long remainingMillis) {
        Duration timeout = Duration.ofMillis(Math.min(remainingMillis, MAX_ATTEMPT_MILLIS) + 100);
        boolean resumes = call.route().kind().isStreamed() && call.route().resumable();
        return new ExchangeRequest(
                upstream.host(),
                upstream.port(),
                call.method(),
                call.uri(),
                protocol.forwardHeaders(
                        call.headers(), upstream, call.team(), remainingMillis, lastEventId),
                call.body(),
                protocol.responseMatcher(call.requestId()),
                timeout,
                resumes ? RESUMABLE_IDLE_TIMEOUT : timeout);
    }

    @Override
    public AttemptReader reader(int attempt) {
        Reader reader = new Reader(attempt);
        readers.put(attempt, reader);
        return reader;
    }

    @Override
    public synchronized void deliver(int attempt) {
        Sinks.Many<byte[]> open = stream;
        if (open != null) {
            open.tryEmitComplete();
            return;
        }
        Reader reader = readers.get(attempt);
        UpstreamResponseHead head = reader == null ? null : reader.head();
        if (reader == null || head == null || NOT_RUN_STATUSES.contains(head.status())) {
            // The upstream ran the call, so the status must not tell the caller otherwise.
            sink.success(refusals.responseLost(call.requestId()));
            return;
        }
        sink.success(
                new EntryResponse.Complete(
                        head.status(), reader.responseHeaders(), reader.body.toByteArray()));
    }

    @Override
    public synchronized void refuse(ForwardRefusal reason, long retryAfterMillis) {
        Sinks.Many<byte[]> open = stream;
        if (open != null) {
            open.tryEmitError(new StreamBrokenException(reason.name()));
            return;
        }
        sink.success(refusals.refusal(call.requestId(), reason, retryAfterMillis));
    }

    private synchronized void startStream(Reader reader) {
        streamedAttempt = reader.attempt;
        if (stream == null) {
            Sinks.Many<byte[]> opened = Sinks.many().unicast().onBackpressureBuffer();
            stream = opened;
            UpstreamResponseHead head = reader.head();
            sink.success(
                    new EntryResponse.Streamed(
                            head == null ? 0 : head.status(),
                            reader.responseHeaders(),
                            opened.asFlux()));
        }
    }

    private synchronized void emit(int attempt, ServerSentEvent event) {
        Sinks.Many<byte[]> open = stream;
        if (attempt == streamedAttempt && open != null) {
            lastEventId = event.id().isEmpty() ? lastEventId : event.id();
            open.tryEmitNext(event.raw());
        }
    }

    /** Reads the response of one attempt. */
    private final class Reader extends AttemptReader {
        private final int attempt;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final ServerSentEventParser assembler =
                new ServerSentEventParser(protocol.versionFieldName());
        private @Nullable HttpHeaders headers;

        Reader(int attempt) {
            super(protocol);
            this.attempt = attempt;
        }

        @Nullable UpstreamResponseHead head() {
            return response();
        }

        HttpHeaders responseHeaders() {
            HttpHeaders received = headers;
            return received == null
                    ? refusals.headers(call.requestId())
                    : protocol.responseHeaders(received);
        }

        @Override
        protected void handleHead(UpstreamResponseHead head, HttpHeaders received) {
            headers = received;
            if (call.route().kind().isStreamed() && isSuccess()) {
                startStream(this);
            }
        }

        @Override
        protected void handleContent(byte[] bytes) {
            if (streamedAttempt == attempt && isSuccess()) {
                assembler.feed(bytes).forEach(event -> emit(attempt, event));
            } else {
                body.writeBytes(bytes);
            }
        }

        @Override
        protected AttemptOutcome finalOutcome(AttemptOutcome outcome) {
            UpstreamResponseHead head = response();
            boolean truncated =
                    outcome == AttemptOutcome.ANSWERED && assembler.hasIncompleteEvent();
            boolean hasNotRunStatus =
                    outcome == AttemptOutcome.ANSWERED
                            && head != null
                            && head.status() >= MIN_FAILURE_STATUS
                            && NOT_RUN_STATUSES.contains(head.status());
            return truncated
                    ? AttemptOutcome.LOST
                    : hasNotRunStatus ? AttemptOutcome.FAILED : outcome;
        }
    }

    /** Closes the connection to the caller in the middle of a stream. */
    private static final class StreamBrokenException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        StreamBrokenException(String reason) {
            super("the stream was interrupted: " + reason, null, false, false);
        }
    }
}
