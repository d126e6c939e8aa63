package org.fuchsialever.node.entry;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.decisions.memory.MemoryShare;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.EntryProtocol;
import org.fuchsialever.services.hosted.EntryRequest;

/** Creates refusals; each is counted and logged. */
final class Refusals {
    private static final String NO_MEMORY = "no-memory";
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Callers usually read a response within this time. */
    private static final long RESPONSE_RETRY_MILLIS = 500;

    private final EntryProtocol mProtocol;
    private final TraceLog mTrace;
    private final MeterRegistry mMeters;

    Refusals(EntryProtocol protocol, TraceLog trace, MeterRegistry meters) {
        mProtocol = protocol;
        mTrace = trace;
        mMeters = meters;
    }

    /** Returns a refusal that a retry does not change. */
    EntryResponse refusal(String requestId, EntryRefusal reason, String detail) {
        return refusal(requestId, reason, detail, 0);
    }

    /** Returns a refusal; the retry time is left out if it is 0. */
    EntryResponse refusal(
            String requestId, EntryRefusal reason, String detail, long retryAfterMillis) {
        mMeters.counter("fuchsialever.entry.refusals", "reason", reason.name()).increment();
        mTrace.line("entry", "refused")
                .with("id", requestId)
                .with("reason", reason.name())
                .with("detail", detail)
                .with("status", reason.status())
                .write();
        HttpHeaders headers = headers(requestId).set("Content-Type", "application/json");
        if (retryAfterMillis > 0) {
            headers.set("Retry-After", Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
        }
        return new EntryResponse.Complete(
                reason.status(), headers, mProtocol.writeRefusal(reason.name() + ": " + detail));
    }

    /** Returns the refusal of a call that no upstream has responded to. */
    EntryResponse refusal(String requestId, ForwardRefusal reason, long retryAfterMillis) {
        EntryRefusal refusal =
                reason.isNotRun()
                        ? EntryRefusal.NOT_RUN
                        : reason == ForwardRefusal.LATE
                                ? EntryRefusal.LATE
                                : EntryRefusal.ANSWER_LOST;
        return refusal(requestId, refusal, reason.name(), retryAfterMillis);
    }

    /** Returns the refusal of a call that has run but whose response cannot be passed on. */
    EntryResponse responseLost(String requestId) {
        return refusal(requestId, EntryRefusal.ANSWER_LOST, "upstream-status", 0);
    }

    /** Returns the refusal of a request that has no room and was not passed on. */
    EntryResponse noMemory(String requestId) {
        return refusal(requestId, EntryRefusal.NOT_RUN, NO_MEMORY, RESPONSE_RETRY_MILLIS);
    }

    /** Returns the refusal of a request whose body was not accepted. */
    EntryResponse refusal(EntryRequest head, BodyReader.BodyRefusedException refused) {
        return refusal(
                head.requestId(), refused.reason(), refused.detail(), refused.retryAfterMillis());
    }

    /**
     * Returns a response to a read, or its refusal if there is no room until its caller has read
     * it. Responses of upstreams are counted as they arrive.
     */
    EntryResponse withinMemory(
            EntryResponse response, EntryRequest head, InstanceMemory.Lease memory) {
        boolean isRead =
                head.kind() == EntryRequest.Kind.READ_RESULTS
                        || head.kind() == EntryRequest.Kind.READ_ITEM;
        if (!isRead || !(response instanceof EntryResponse.Complete complete)) {
            return response;
        }
        // The transport copies the body once more.
        long bytes = 2L * complete.body().length;
        return memory.tryTake(MemoryShare.RESPONSE, bytes) ? response : noMemory(head.requestId());
    }

    /** Logs that a response was given up because there was no room for the rest of it. */
    void noteNoRoom(String requestId, int heldBytes) {
        mTrace.line("entry", "response-not-held")
                .with("id", requestId)
                .with("heldBytes", heldBytes)
                .write();
    }

    /** Returns the header fields that name a request. */
    HttpHeaders headers(String requestId) {
        return mProtocol.responseHeaders(requestId);
    }
}
