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

/** A call of a caller that waits for the answer. */
final class LivePayload implements ForwardCallHandler {
    /** The deadline of the call ends an attempt; this only bounds what is forgotten. */
    private static final long LONGEST_MILLIS = 120_000;

    /** A resumable stream goes on elsewhere before its caller gives up, which takes 2 s. */
    private static final Duration RESUMABLE_SILENCE = Duration.ofMillis(1_200);

    private static final int FIRST_FAILURE = 300;

    /** Statuses that promise the caller that nothing has run. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final EntryCall call;
    private final UpstreamProtocol protocol;
    private final Refusals refusals;
    private final MonoSink<EntryAnswer> sink;
    private final Map<Integer, Reader> readers = new ConcurrentHashMap<>();
    private Sinks.@Nullable Many<byte[]> stream;
    private String lastEvent;
    private int streamedAttempt;

    LivePayload(
            EntryCall call,
            UpstreamProtocol protocol,
            Refusals refusals,
            MonoSink<EntryAnswer> sink) {
        this.call = call;
        this.protocol = protocol;
        this.refusals = refusals;
        this.sink = sink;
        this.lastEvent = "";
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
        Duration longest = Duration.ofMillis(Math.min(remainingMillis, LONGEST_MILLIS) + 100);
        boolean resumes = call.route().kind().isStreamed() && call.route().resumable();
        return new ExchangeRequest(
                upstream.host(),
                upstream.port(),
                call.method(),
                call.uri(),
                protocol.forwardHeaders(
                        call.headers(), upstream, call.team(), remainingMillis, lastEvent),
                call.body(),
                protocol.responseMatcher(call.requestId()),
                longest,
                resumes ? RESUMABLE_SILENCE : longest);
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
        if (reader == null || head == null || PROMISES.contains(head.status())) {
            // The upstream ran the call, so its status must not promise the opposite.
            sink.success(refusals.answerLost(call.requestId()));
            return;
        }
        sink.success(
                new EntryAnswer.Whole(
                        head.status(), reader.answerHeaders(), reader.body.toByteArray()));
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
                    new EntryAnswer.Streamed(
                            head == null ? 0 : head.status(),
                            reader.answerHeaders(),
                            opened.asFlux()));
        }
    }

    private synchronized void pass(int attempt, ServerSentEvent event) {
        Sinks.Many<byte[]> open = stream;
        if (attempt == streamedAttempt && open != null) {
            lastEvent = event.id().isEmpty() ? lastEvent : event.id();
            open.tryEmitNext(event.raw());
        }
    }

    /** Reads one answer. */
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

        HttpHeaders answerHeaders() {
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
                assembler.feed(bytes).forEach(event -> pass(attempt, event));
            } else {
                body.writeBytes(bytes);
            }
        }

        @Override
        protected AttemptOutcome finalOutcome(AttemptOutcome outcome) {
            UpstreamResponseHead head = response();
            boolean torn = outcome == AttemptOutcome.ANSWERED && assembler.hasIncompleteEvent();
            boolean redirected =
                    outcome == AttemptOutcome.ANSWERED
                            && head != null
                            && head.status() >= FIRST_FAILURE
                            && PROMISES.contains(head.status());
            return torn ? AttemptOutcome.LOST : redirected ? AttemptOutcome.FAILED : outcome;
        }
    }

    /** Breaks the connection to the caller in the middle of a stream. */
    private static final class StreamBrokenException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        StreamBrokenException(String reason) {
            super("the stream cannot go on: " + reason, null, false, false);
        }
    }
}
