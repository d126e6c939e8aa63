package org.fuchsialever.node.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.AttemptReport;
import org.fuchsialever.services.exchange.ExchangeEnd;
import org.fuchsialever.services.hosted.UpstreamAnswer;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.jspecify.annotations.Nullable;

/** Reads the answer of one attempt, in the event loop. */
public abstract class AttemptReader {
    private static final int FIRST_FAILURE = 300;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int UNPROCESSABLE = 422;

    private final UpstreamProtocol protocol;
    private @Nullable UpstreamAnswer answer;
    private boolean encoded;

    /** Creates a reader. */
    protected AttemptReader(UpstreamProtocol protocol) {
        this.protocol = protocol;
    }

    final void onHead(int status, HttpHeaders headers) {
        UpstreamAnswer read = protocol.read(status, headers);
        answer = read;
        // No request asks for an encoding, so such a body is not the upstream's.
        encoded = headers.contains("Content-Encoding");
        head(read, headers);
    }

    final void onContent(byte[] bytes) {
        content(bytes);
    }

    final AttemptReport onEnd(ExchangeEnd end) {
        AttemptOutcome outcome = outcome(end);
        Option<LoadHint> load = Option.of(answer).flatMap(UpstreamAnswer::load);
        AttemptOutcome result = end(outcome);
        return new AttemptReport(result, load, version());
    }

    /** Returns the head of the answer, or null before it has arrived. */
    protected final @Nullable UpstreamAnswer answer() {
        return answer;
    }

    /** Returns whether the answer reports success and is signed. */
    protected final boolean isSuccess() {
        UpstreamAnswer head = answer;
        return head != null
                && head.status() < FIRST_FAILURE
                && !head.signature().isEmpty()
                && !encoded;
    }

    /** The head of the answer has arrived. */
    protected abstract void head(UpstreamAnswer head, HttpHeaders headers);

    /** A part of the body has arrived. */
    protected abstract void content(byte[] bytes);

    /** The attempt has ended; returns the outcome, which may be worse than the given one. */
    protected abstract AttemptOutcome end(AttemptOutcome outcome);

    /** Returns the newest weight version that the answer named, 0 if it named none. */
    protected long version() {
        return answer == null ? 0 : answer.version();
    }

    private AttemptOutcome outcome(ExchangeEnd end) {
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
        UpstreamAnswer head = answer;
        if (head == null) {
            return AttemptOutcome.MALFORMED;
        }
        if (head.otherInstance()) {
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
