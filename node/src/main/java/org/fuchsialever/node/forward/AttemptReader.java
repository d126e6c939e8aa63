package org.fuchsialever.node.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.AttemptReport;
import org.fuchsialever.services.exchange.ExchangeOutcome;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.hosted.UpstreamResponseHead;
import org.jspecify.annotations.Nullable;

/** Reads the answer of one attempt, in the event loop. */
public abstract class AttemptReader {
    private static final int FIRST_FAILURE = 300;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int UNPROCESSABLE = 422;

    private final UpstreamProtocol protocol;
    private @Nullable UpstreamResponseHead answer;
    private boolean encoded;

    /** Creates a reader. */
    protected AttemptReader(UpstreamProtocol protocol) {
        this.protocol = protocol;
    }

    final void onHead(int status, HttpHeaders headers) {
        UpstreamResponseHead read = protocol.readResponseHead(status, headers);
        answer = read;
        // No request asks for an encoding, so such a body is not the upstream's.
        encoded = headers.contains("Content-Encoding");
        handleHead(read, headers);
    }

    final void onContent(byte[] bytes) {
        handleContent(bytes);
    }

    final AttemptReport onEnd(ExchangeOutcome end) {
        AttemptOutcome outcome = outcome(end);
        Option<LoadHint> load = Option.of(answer).flatMap(UpstreamResponseHead::load);
        AttemptOutcome result = finalOutcome(outcome);
        return new AttemptReport(result, load, version());
    }

    /** Returns the head of the answer, or null before it has arrived. */
    protected final @Nullable UpstreamResponseHead response() {
        return answer;
    }

    /** Returns whether the answer reports success and is signed. */
    protected final boolean isSuccess() {
        UpstreamResponseHead head = answer;
        return head != null
                && head.status() < FIRST_FAILURE
                && !head.signature().isEmpty()
                && !encoded;
    }

    /** The head of the answer has arrived. */
    protected abstract void handleHead(UpstreamResponseHead head, HttpHeaders headers);

    /** A part of the body has arrived. */
    protected abstract void handleContent(byte[] bytes);

    /** The attempt has ended; returns the outcome, which may be worse than the given one. */
    protected abstract AttemptOutcome finalOutcome(AttemptOutcome outcome);

    /** Returns the newest weight version that the answer named, 0 if it named none. */
    protected long version() {
        return answer == null ? 0 : answer.version();
    }

    private AttemptOutcome outcome(ExchangeOutcome end) {
        return switch (end) {
            case COMPLETE -> complete();
            case NOT_CONNECTED -> AttemptOutcome.NOT_CONNECTED;
            case LOST -> AttemptOutcome.LOST;
            case SILENT -> AttemptOutcome.SILENT;
            case MALFORMED -> AttemptOutcome.MALFORMED;
            case CANCELLED -> AttemptOutcome.CANCELLED;
        };
    }

    private AttemptOutcome complete() {
        UpstreamResponseHead head = answer;
        if (head == null) {
            return AttemptOutcome.MALFORMED;
        }
        if (head.misdirected()) {
            return AttemptOutcome.WRONG_INSTANCE;
        }
        if (head.notRun()) {
            return AttemptOutcome.NOT_RUN;
        }
        if (head.status() >= FIRST_SERVER_ERROR) {
            return AttemptOutcome.FAILED;
        }
        if (head.status() == UNPROCESSABLE) {
            return AttemptOutcome.REJECTED;
        }
        return head.status() < FIRST_FAILURE && !isSuccess()
                ? AttemptOutcome.MALFORMED
                : AttemptOutcome.ANSWERED;
    }
}
