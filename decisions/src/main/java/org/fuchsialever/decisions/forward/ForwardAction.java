package org.fuchsialever.decisions.forward;

import org.fuchsialever.decisions.fleet.FleetUpstream;

/** What the forward duty decides. */
public sealed interface ForwardAction {

    /** Why an attempt is started. */
    enum StartReason {
        /** It is the first attempt. */
        FIRST,
        /** The attempt before it failed. */
        RETRY,
        /** The attempt before it takes long and goes on. */
        HEDGE
    }

    /**
     * Sends the call to an upstream.
     *
     * @param call the call
     * @param attempt counts from 1
     * @param upstream where to send it
     * @param reason why it is sent
     * @param load calls that are probably there, for the log
     */
    record Start(
            ForwardCall call, int attempt, FleetUpstream upstream, StartReason reason, int load)
            implements ForwardAction {}

    /** Ends an attempt. */
    record Cancel(long number, int attempt) implements ForwardAction {}

    /** Passes the answer of an attempt to whoever waits for it. */
    record Deliver(long number, int attempt) implements ForwardAction {}

    /**
     * Ends a call without an answer of an upstream.
     *
     * @param number the call
     * @param reason why
     * @param retryAfterMillis when another try is worthwhile, 0 if unknown
     */
    record Refuse(long number, ForwardRefusal reason, long retryAfterMillis)
            implements ForwardAction {}
}
