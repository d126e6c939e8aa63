package org.fuchsialever.decisions.forward;

/**
 * A moment at which a call is looked at again.
 *
 * @param at when, in monotonic nanoseconds
 * @param number number of the call
 * @param kind what happens then
 */
record CallTimer(long at, long number, Kind kind) {

    /** What happens at the time of a timer. */
    enum Kind {
        /** The call must have ended. */
        DEADLINE,
        /** A second attempt starts if the first one is still running. */
        HEDGE,
        /** The call is sent again after a failure. */
        RETRY,
        /** The call no longer waits for a slot. */
        WAIT_OVER
    }
}
