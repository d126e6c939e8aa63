package org.fuchsialever.decisions.forward;

import org.fuchsialever.decisions.domain.ShareChange;
import org.fuchsialever.decisions.fleet.ChoiceBasis;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.ServingUpstreams;

/** Action that the forward duty emits. */
public sealed interface ForwardAction {

    /** Why an attempt is started. */
    enum StartReason {
        /** The first attempt. */
        FIRST,
        /** The previous attempt failed. */
        RETRY,
        /** The previous attempt was cancelled because its upstream is slower than another one. */
        MOVE,
        /** The previous attempt is slow and still running. */
        HEDGE
    }

    /**
     * Sends the call to an upstream.
     *
     * @param call the call
     * @param attempt number of the attempt of this call, from 1
     * @param upstream the receiver
     * @param reason why the attempt is started
     * @param load estimated number of calls at the upstream, for the log
     * @param basis what decided for the upstream
     * @param expectedNanos expected time until the attempt ends, 0 if it was not estimated
     */
    record Start(
            ForwardCall call,
            int attempt,
            FleetUpstream upstream,
            StartReason reason,
            int load,
            ChoiceBasis basis,
            long expectedNanos)
            implements ForwardAction {}

    /** Cancels a running attempt. */
    record Cancel(long number, int attempt) implements ForwardAction {}

    /** Passes the response of an attempt to the caller. */
    record Deliver(long number, int attempt) implements ForwardAction {}

    /** Notes that the share of calls that leave the failure domain has changed. */
    record NoteDomainShare(ShareChange change) implements ForwardAction {}

    /** Notes that an upstream is leaving by its own responses and gets no new work. */
    record NoteLeaving(FleetUpstream upstream) implements ForwardAction {}

    /** Tells which upstreams may get calls that were chosen for them and are not sent yet. */
    record PublishServing(ServingUpstreams serving) implements ForwardAction {}

    /** The calls of a service are queued fairly from now on. */
    record QueueFairly(String service) implements ForwardAction {}

    /** Reports how many calls wait for a slot of a service that is queued fairly. */
    record QueueLength(String service, int waiting) implements ForwardAction {}

    /**
     * Ends a call without a response of an upstream.
     *
     * @param number number of the call
     * @param reason why it is refused
     * @param retryAfterMillis delay after which a retry is worthwhile, 0 if unknown
     */
    record Refuse(long number, ForwardRefusal reason, long retryAfterMillis)
            implements ForwardAction {}
}
