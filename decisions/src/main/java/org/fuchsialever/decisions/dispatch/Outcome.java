package org.fuchsialever.decisions.dispatch;

/** What is known about a request when its caller gets the final response. */
public enum Outcome {
    /** No part of the request reached an upstream's application. */
    NOT_RUN(true),
    /** The complete response was delivered. */
    COMPLETED(false),
    /** An upstream ran the request and returned an error. */
    FAILED_AFTER_RUNNING(false),
    /** The request may have run; no final response arrived. */
    UNKNOWN(false);

    private final boolean mSafeToRepeat;

    Outcome(boolean safeToRepeat) {
        mSafeToRepeat = safeToRepeat;
    }

    /** Returns whether even a non-repeatable request may be sent again by its caller. */
    public boolean safeToRepeat() {
        return mSafeToRepeat;
    }
}
