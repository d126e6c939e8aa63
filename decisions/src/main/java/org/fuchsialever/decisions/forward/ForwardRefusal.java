package org.fuchsialever.decisions.forward;

/** Why a call ends without an answer of an upstream. */
public enum ForwardRefusal {
    /** No upstream of the service takes calls; nothing has run. */
    NO_UPSTREAM(true),
    /** All upstreams that were tried refused the call; nothing has run. */
    UPSTREAMS_FULL(true),
    /** The time for the call is over; nothing has run. */
    LATE_NOT_RUN(true),
    /** The instance has too many calls; nothing has run. */
    OVERLOADED(true),
    /** The time for the call is over; it may have run. */
    LATE(false),
    /** The answer of an upstream was lost or spoiled; the call may have run. */
    ANSWER_LOST(false),
    /** The call failed as often as its route allows. */
    EXHAUSTED(false);

    private final boolean notRun;

    ForwardRefusal(boolean notRun) {
        this.notRun = notRun;
    }

    /** Returns whether the call has certainly not run and never will. */
    public boolean isNotRun() {
        return notRun;
    }
}
