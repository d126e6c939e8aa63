package org.fuchsialever.node.entry;

import org.fuchsialever.services.hosted.EntryRequest;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A request whose response has not begun; it is answered when the instance stops. */
final class OpenRequest {
    private final EntryRequest mHead;
    private final Refusals mRefusals;
    private final Sinks.One<EntryResponse> mEnd = Sinks.one();
    private volatile boolean mPassedOn;

    OpenRequest(EntryRequest head, Refusals refusals) {
        mHead = head;
        mRefusals = refusals;
    }

    /** Notes that its whole body was read and that it may run from now on. */
    void passedOn() {
        mPassedOn = true;
    }

    /** Returns the given response, or an earlier one if the instance stops before. */
    Mono<EntryResponse> orEnd(Mono<EntryResponse> response) {
        return Mono.firstWithSignal(response, mEnd.asMono());
    }

    /** Answers the request at the end of a stop. */
    void end() {
        if (mEnd.currentSubscriberCount() == 0) {
            return;
        }
        EntryRefusal reason = mPassedOn ? EntryRefusal.ANSWER_LOST : EntryRefusal.NOT_RUN;
        mEnd.tryEmitValue(
                mRefusals.refusal(
                        mHead.requestId(),
                        reason,
                        EntryHandler.SHUTTING_DOWN,
                        mPassedOn ? 0 : EntryHandler.DRAIN_RETRY_MILLIS));
    }
}
