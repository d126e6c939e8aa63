package org.fuchsialever.node.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.AttemptReport;
import org.fuchsialever.services.exchange.ContentVerdict;
import org.fuchsialever.services.exchange.ExchangeOutcome;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.hosted.UpstreamResponseHead;
import org.jspecify.annotations.Nullable;

/** Reads the response of one attempt, in the event loop. */
public abstract class AttemptReader {
    private static final int MIN_FAILURE_STATUS = 300;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int UNPROCESSABLE_STATUS = 422;

    /** Maximum size of a response that is not streamed, in bytes. */
    private static final long MAX_CONTENT_BYTES = 4L * 1_024 * 1_024;

    private final UpstreamProtocol mProtocol;
    private @Nullable UpstreamResponseHead mResponse;
    private boolean mEncoded;
    private boolean mGivenUp;
    private long mContentBytes;

    /** Creates a reader. */
    protected AttemptReader(UpstreamProtocol protocol) {
        mProtocol = protocol;
    }

    /** Reads the head of the response and returns it. */
    public final UpstreamResponseHead onHead(int status, HttpHeaders headers) {
        UpstreamResponseHead read = mProtocol.readResponseHead(status, headers);
        mResponse = read;
        // Requests accept no content encoding, so an encoded body is not the upstream's.
        mEncoded = headers.contains("Content-Encoding");
        handleHead(read, headers);
        return read;
    }

    /** Reads a part of the body and returns whether the response has progressed. */
    public final ContentVerdict onContent(byte[] bytes) {
        mContentBytes += bytes.length;
        return mGivenUp || mContentBytes > maxContentBytes()
                ? ContentVerdict.INVALID
                : handleContent(bytes);
    }

    /** Releases the memory of the response; the attempt ends as malformed. */
    final void giveUp() {
        mGivenUp = true;
        discard();
        handleGivenUp();
    }

    final boolean isGivenUp() {
        return mGivenUp;
    }

    /** Reads the end of the response and returns the result of the attempt. */
    public final AttemptReport onEnd(ExchangeOutcome end) {
        AttemptOutcome outcome = outcome(end);
        Option<LoadHint> load = Option.of(mResponse).flatMap(UpstreamResponseHead::load);
        AttemptOutcome result = finalOutcome(outcome);
        if (!result.hasResponse()) {
            discard();
        }
        return new AttemptReport(result, load, version());
    }

    /** Returns the head of the response, or null before it has arrived. */
    protected final @Nullable UpstreamResponseHead response() {
        return mResponse;
    }

    /** Returns whether the response has a success status, is signed and is not encoded. */
    protected final boolean isSuccess() {
        UpstreamResponseHead head = mResponse;
        return head != null
                && head.status() < MIN_FAILURE_STATUS
                && !head.signature().isEmpty()
                && !mEncoded;
    }

    /** Handles the head of the response. */
    protected abstract void handleHead(UpstreamResponseHead head, HttpHeaders headers);

    /** Handles a part of the body and returns whether the response has progressed. */
    protected abstract ContentVerdict handleContent(byte[] bytes);

    /** Returns the maximum size of the body in bytes; a larger one ends the attempt. */
    protected long maxContentBytes() {
        return MAX_CONTENT_BYTES;
    }

    /** Returns the number of bytes of the unfinished response that are kept in memory. */
    protected long heldBytes() {
        return 0;
    }

    /** Releases the bytes that are kept, because the response will not be delivered. */
    protected void discard() {}

    /** Ends what the response has begun before it was given up. */
    protected void handleGivenUp() {}

    /** Returns the outcome of the ended attempt, which may be worse than the given one. */
    protected abstract AttemptOutcome finalOutcome(AttemptOutcome outcome);

    /** Returns the number of events read so far; 0 for a response that is not a stream. */
    protected int eventCount() {
        return 0;
    }

    /** Returns the newest weight version that the response stated, 0 if it stated none. */
    protected long version() {
        return mResponse == null ? 0 : mResponse.version();
    }

    private AttemptOutcome outcome(ExchangeOutcome end) {
        return switch (end) {
            case COMPLETE -> complete();
            case NOT_CONNECTED -> AttemptOutcome.NOT_CONNECTED;
            case WITHDRAWN -> AttemptOutcome.WITHDRAWN;
            case LOST -> AttemptOutcome.LOST;
            case SILENT -> AttemptOutcome.SILENT;
            case MALFORMED -> AttemptOutcome.MALFORMED;
            case CANCELLED -> mGivenUp ? AttemptOutcome.MALFORMED : AttemptOutcome.CANCELLED;
        };
    }

    private AttemptOutcome complete() {
        UpstreamResponseHead head = mResponse;
        if (head == null) {
            return AttemptOutcome.MALFORMED;
        }
        if (head.misdirected()) {
            return AttemptOutcome.WRONG_INSTANCE;
        }
        if (head.notRun()) {
            return AttemptOutcome.NOT_RUN;
        }
        if (head.status() >= MIN_SERVER_ERROR_STATUS) {
            return AttemptOutcome.FAILED;
        }
        if (head.status() == UNPROCESSABLE_STATUS) {
            return AttemptOutcome.REJECTED;
        }
        return head.status() < MIN_FAILURE_STATUS && !isSuccess()
                ? AttemptOutcome.MALFORMED
                : AttemptOutcome.ANSWERED;
    }
}
