package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
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

    /** Bytes of these events; a few of the largest ones. */
    private static final long MAX_UNREAD_BYTES = 4L * ServerSentEventParser.MAX_EVENT_BYTES;

    private static final int MIN_FAILURE_STATUS = 300;

    /** Statuses that tell the caller that the call was not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final EntryCall mCall;
    private final UpstreamProtocol mProtocol;
    private final Refusals mRefusals;
    private final LongConsumer mOnAbandoned;
    private final MonoSink<EntryResponse> mSink;
    private final Map<Integer, Reader> mReaders = new ConcurrentHashMap<>();
    private final Queue<byte[]> mUnread = new ArrayBlockingQueue<>(MAX_UNREAD_EVENTS);
    private final AtomicLong mUnreadBytes = new AtomicLong();
    private volatile long mNumber;
    private Sinks.@Nullable Many<byte[]> mStream;
    private String mLastEventId;
    private int mStreamedAttempt;

    LiveCallHandler(
            EntryCall call,
            UpstreamProtocol protocol,
            Refusals refusals,
            LongConsumer onAbandoned,
            MonoSink<EntryResponse> sink) {
        mCall = call;
        mProtocol = protocol;
        mRefusals = refusals;
        mOnAbandoned = onAbandoned;
        mSink = sink;
        mLastEventId = "";
    }

    /** Sets the number of the call, with which it is abandoned when nobody reads its stream. */
    void assignNumber(long number) {
        mNumber = number;
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
                mCall.requestId(),
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

    private synchronized void follow(Reader reader) {
        mStreamedAttempt = reader.mAttempt;
    }

    /**
     * Passes the head on with the first event. A head that is followed by none bears the signature
     * of a run that has no part in the stream.
     */
    private Sinks.Many<byte[]> openStream(Reader reader) {
        Sinks.Many<byte[]> open = mStream;
        if (open != null) {
            return open;
        }
        Sinks.Many<byte[]> opened = Sinks.many().unicast().onBackpressureBuffer(mUnread, () -> {});
        mStream = opened;
        UpstreamResponseHead head = reader.head();
        mSink.success(
                new EntryResponse.Streamed(
                        head == null ? 0 : head.status(),
                        reader.responseHeaders(),
                        opened.asFlux()
                                .doOnNext(event -> mUnreadBytes.addAndGet(-event.length))
                                .doOnCancel(() -> mOnAbandoned.accept(mNumber))));
        return opened;
    }

    private synchronized void emit(Reader reader, ServerSentEvent event) {
        if (reader.mAttempt == mStreamedAttempt) {
            Sinks.Many<byte[]> open = openStream(reader);
            mLastEventId = event.id().isEmpty() ? mLastEventId : event.id();
            long unread = mUnreadBytes.addAndGet(event.raw().length);
            if (!mCall.memory().tryTake(MemoryShare.RESPONSE, event.raw().length)) {
                breakOff(open, "NO_MEMORY");
            } else if (unread > MAX_UNREAD_BYTES || open.tryEmitNext(event.raw()).isFailure()) {
                breakOff(open, "CALLER_TOO_SLOW");
            }
        }
    }

    private synchronized void breakOffStreamOf(int attempt) {
        Sinks.Many<byte[]> open = mStream;
        if (attempt == mStreamedAttempt && open != null) {
            breakOff(open, "RESPONSE_MEMORY");
        }
    }

    /** Ends a stream without waiting for its caller to read what is kept, and its attempts. */
    private void breakOff(Sinks.Many<byte[]> open, String reason) {
        mUnread.clear();
        open.tryEmitError(new StreamBrokenException(reason));
        mOnAbandoned.accept(mNumber);
    }

    /** Reads the response of one attempt. */
    private final class Reader extends AttemptReader {
        private final int mAttempt;
        private ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private ServerSentEventParser mAssembler =
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
                follow(this);
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
            events.forEach(event -> emit(this, event));
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

        @Override
        protected long heldBytes() {
            long unread = isStreaming() ? mUnreadBytes.get() : 0;
            return mBody.size() + mAssembler.bufferedBytes() + Math.max(0, unread);
        }

        @Override
        protected void discard() {
            mBody = new ByteArrayOutputStream(0);
            mAssembler = new ServerSentEventParser(mProtocol.versionFieldName());
        }

        @Override
        protected void handleGivenUp() {
            breakOffStreamOf(mAttempt);
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
