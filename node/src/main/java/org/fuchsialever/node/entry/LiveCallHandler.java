package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.decisions.memory.MemoryShare;
import org.fuchsialever.node.forward.AttemptReader;
import org.fuchsialever.node.forward.ForwardCallHandler;
import org.fuchsialever.node.forward.ServerSentEvent;
import org.fuchsialever.node.forward.ServerSentEventParser;
import org.fuchsialever.services.exchange.ContentVerdict;
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

    /** Events kept for a caller that reads slower than the upstream sends. */
    private static final int MAX_UNREAD_EVENTS = 1_024;

    private static final int MIN_FAILURE_STATUS = 300;

    /** Statuses that tell the caller that the call was not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final EntryCall mCall;
    private final UpstreamProtocol mProtocol;
    private final Refusals mRefusals;
    private final MonoSink<EntryResponse> mSink;
    private final Map<Integer, Reader> mReaders = new ConcurrentHashMap<>();
    private Sinks.@Nullable Many<byte[]> mStream;
    private String mLastEventId;
    private int mStreamedAttempt;

    LiveCallHandler(
            EntryCall call,
            UpstreamProtocol protocol,
            Refusals refusals,
            MonoSink<EntryResponse> sink) {
        mCall = call;
        mProtocol = protocol;
        mRefusals = refusals;
        mSink = sink;
        mLastEventId = "";
    }

    @Override
    public String requestId() {
        return mCall.requestId();
    }

    @Override
    public String meteredTeam() {
        return mCall.team();
    }

    @Override
    public synchronized ExchangeRequest request(FleetUpstream upstream, long remainingMillis) {
        Duration timeout = Duration.ofMillis(Math.min(remainingMillis, MAX_ATTEMPT_MILLIS) + 100);
        boolean resumes = mCall.route().kind().isStreamed() && mCall.route().resumable();
        return new ExchangeRequest(
                upstream.host(),
                upstream.port(),
                mCall.method(),
                mCall.uri(),
                mProtocol.forwardHeaders(
                        mCall.headers(), upstream, mCall.team(), remainingMillis, mLastEventId),
                mCall.body(),
                mProtocol.responseMatcher(mCall.requestId()),
                timeout,
                resumes ? RESUMABLE_IDLE_TIMEOUT : timeout);
    }

    @Override
    public AttemptReader reader(int attempt) {
        Reader reader = new Reader(attempt);
        mReaders.put(attempt, reader);
        return reader;
    }

    @Override
    public synchronized void deliver(int attempt) {
        Sinks.Many<byte[]> open = mStream;
        Reader reader = mReaders.get(attempt);
        if (open != null) {
            // An upstream that was to go on with the stream may have answered with a failure.
            if (reader != null && reader.isStreaming()) {
                open.tryEmitComplete();
            } else {
                open.tryEmitError(new StreamBrokenException("NOT_CONTINUED"));
            }
            return;
        }
        UpstreamResponseHead head = reader == null ? null : reader.head();
        if (reader == null || head == null || NOT_RUN_STATUSES.contains(head.status())) {
            // The upstream ran the call, so the status must not tell the caller otherwise.
            mSink.success(mRefusals.responseLost(mCall.requestId()));
            return;
        }
        mSink.success(
                new EntryResponse.Complete(
                        head.status(), reader.responseHeaders(), reader.mBody.toByteArray()));
    }

    @Override
    public synchronized void refuse(ForwardRefusal reason, long retryAfterMillis) {
        Sinks.Many<byte[]> open = mStream;
        if (open != null) {
            open.tryEmitError(new StreamBrokenException(reason.name()));
            return;
        }
        mSink.success(mRefusals.refusal(mCall.requestId(), reason, retryAfterMillis));
    }

    private synchronized void startStream(Reader reader) {
        mStreamedAttempt = reader.mAttempt;
        if (mStream == null) {
            Sinks.Many<byte[]> opened =
                    Sinks.many()
                            .unicast()
                            .onBackpressureBuffer(
                                    new ArrayBlockingQueue<>(MAX_UNREAD_EVENTS), () -> {});
            mStream = opened;
            UpstreamResponseHead head = reader.head();
            mSink.success(
                    new EntryResponse.Streamed(
                            head == null ? 0 : head.status(),
                            reader.responseHeaders(),
                            opened.asFlux()));
        }
    }

    private synchronized void emit(int attempt, ServerSentEvent event) {
        Sinks.Many<byte[]> open = mStream;
        if (attempt == mStreamedAttempt && open != null) {
            mLastEventId = event.id().isEmpty() ? mLastEventId : event.id();
            if (!mCall.memory().tryTake(MemoryShare.RESPONSE, event.raw().length)) {
                open.tryEmitError(new StreamBrokenException("NO_MEMORY"));
            } else if (open.tryEmitNext(event.raw()).isFailure()) {
                open.tryEmitError(new StreamBrokenException("CALLER_TOO_SLOW"));
            }
        }
    }

    /** Reads the response of one attempt. */
    private final class Reader extends AttemptReader {
        private final int mAttempt;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private final ServerSentEventParser mAssembler =
                new ServerSentEventParser(mProtocol.versionFieldName());
        private @Nullable HttpHeaders mHeaders;

        Reader(int attempt) {
            super(mProtocol);
            mAttempt = attempt;
        }

        @Nullable UpstreamResponseHead head() {
            return response();
        }

        HttpHeaders responseHeaders() {
            HttpHeaders received = mHeaders;
            return received == null
                    ? mRefusals.headers(mCall.requestId())
                    : mProtocol.responseHeaders(received);
        }

        @Override
        protected void handleHead(UpstreamResponseHead head, HttpHeaders received) {
            mHeaders = received;
            if (mCall.route().kind().isStreamed() && isSuccess()) {
                startStream(this);
            }
        }

        @Override
        protected ContentVerdict handleContent(byte[] bytes) {
            if (!isStreaming()) {
                // The transport copies the body once more when it is sent to the caller.
                if (!mCall.memory().tryTake(MemoryShare.RESPONSE, 2L * bytes.length)) {
                    mRefusals.noteNoRoom(mCall.requestId(), mBody.size());
                    return ContentVerdict.INVALID;
                }
                mBody.writeBytes(bytes);
                return ContentVerdict.PROGRESS;
            }
            List<ServerSentEvent> events = mAssembler.feed(bytes);
            events.forEach(event -> emit(mAttempt, event));
            if (mAssembler.isOverlong()) {
                return ContentVerdict.INVALID;
            }
            return events.isEmpty() ? ContentVerdict.NO_PROGRESS : ContentVerdict.PROGRESS;
        }

        /** A stream is passed on as it arrives, so only its single events are bounded. */
        @Override
        protected long maxContentBytes() {
            return isStreaming() ? Long.MAX_VALUE : super.maxContentBytes();
        }

        private boolean isStreaming() {
            return mStreamedAttempt == mAttempt && isSuccess();
        }

        @Override
        protected AttemptOutcome finalOutcome(AttemptOutcome outcome) {
            UpstreamResponseHead head = response();
            boolean truncated =
                    outcome == AttemptOutcome.ANSWERED && mAssembler.hasIncompleteEvent();
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
