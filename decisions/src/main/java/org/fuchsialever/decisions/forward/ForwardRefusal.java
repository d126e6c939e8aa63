package org.fuchsialever.decisions.forward;

/** Why a call ends without a response of an upstream. */
public enum ForwardRefusal {
    /** No upstream of the service accepts calls; the call did not run. */
    NO_UPSTREAM(true),
    /** All upstreams that were tried refused the call; it did not run. */
    UPSTREAMS_FULL(true),
    /** The deadline of the call has passed; it did not run. */
    LATE_NOT_RUN(true),
    /** The instance has too many calls in progress; the call did not run. */
    OVERLOADED(true),
    /** The deadline of the call has passed; it may have run. */
    LATE(false),
    /** The response of an upstream was lost or malformed; the call may have run. */
    ANSWER_LOST(false),
    /** An upstream reported that the call can never succeed. */
    REJECTED(false),
    /** The call has failed as often as its route allows. */
    EXHAUSTED(false);

    private final boolean mNotRun;

    ForwardRefusal(boolean notRun) {
        mNotRun = notRun;
    }

    /** Returns whether the call has certainly not run and never will. */
    public boolean isNotRun() {
        return mNotRun;
    }
}
