package org.fuchsialever.node.entry;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.EntryProtocol;

/** Answers of the instance itself, each with a counter and a log line. */
final class Refusals {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final EntryProtocol protocol;
    private final TraceLog trace;
    private final MeterRegistry meters;

    Refusals(EntryProtocol protocol, TraceLog trace, MeterRegistry meters) {
        this.protocol = protocol;
        this.trace = trace;
        this.meters = meters;
    }

    /** Returns a refusal that no other try changes. */
    EntryAnswer refusal(String requestId, EntryRefusal reason, String detail) {
        return refusal(requestId, reason, detail, 0);
    }

    /** Returns a refusal. */
    EntryAnswer refusal(
            String requestId, EntryRefusal reason, String detail, long retryAfterMillis) {
        meters.counter("fuchsialever.entry.refusals", "reason", reason.name()).increment();
        trace.line("entry", "refused")
                .with("id", requestId)
                .with("reason", reason.name())
                .with("detail", detail)
                .with("status", reason.status())
                .write();
        HttpHeaders headers = headers(requestId).set("Content-Type", "application/json");
        if (retryAfterMillis > 0) {
            headers.set("Retry-After", Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
        }
        return new EntryAnswer.Whole(
                reason.status(), headers, protocol.writeRefusal(reason.name() + ": " + detail));
    }

    /** Returns the refusal of a call that was not answered by an upstream. */
    EntryAnswer refusal(String requestId, ForwardRefusal reason, long retryAfterMillis) {
        EntryRefusal answer =
                reason.isNotRun()
                        ? EntryRefusal.NOT_RUN
                        : reason == ForwardRefusal.LATE
                                ? EntryRefusal.LATE
                                : EntryRefusal.ANSWER_LOST;
        return refusal(requestId, answer, reason.name(), retryAfterMillis);
    }

    /** Returns the answer to a call whose answer is lost. */
    EntryAnswer answerLost(String requestId) {
        return refusal(requestId, EntryRefusal.ANSWER_LOST, "upstream-status", 0);
    }

    /** Returns the header fields that name a request. */
    HttpHeaders headers(String requestId) {
        return protocol.responseHeaders(requestId);
    }
}
