package org.fuchsialever.decisions.forward;

/** How one attempt at an upstream has ended. */
public enum AttemptOutcome {
    /** The upstream sent a complete response other than a server error. */
    ANSWERED(true, false, false),
    /** The upstream ran the call and responded with a server error. */
    FAILED(true, false, false),
    /** The upstream ran the call and reported that it can never succeed. */
    REJECTED(true, false, false),
    /** The upstream reported that it did not run the call. */
    NOT_RUN(false, false, true),
    /** Another upstream responded at the address; the call did not run. */
    WRONG_INSTANCE(false, true, false),
    /** The upstream serves another weight version than the call requires; it did not run. */
    WRONG_VERSION(false, false, true),
    /** The connection could not be opened; nothing was sent. */
    NOT_CONNECTED(false, true, false),
    /** The upstream had begun to leave before the call was sent; nothing was sent. */
    WITHDRAWN(false, false, false),
    /** The connection broke after the call was sent. */
    LOST(true, true, false),
    /** The upstream sent nothing within the timeout. */
    SILENT(true, true, false),
    /** The response is malformed, incomplete or belongs to another call. */
    MALFORMED(true, false, false),
    /** This instance cancelled the attempt. */
    CANCELLED(true, false, false);

    private final boolean mMayHaveRun;
    private final boolean mUpstreamFault;
    private final boolean mRefusal;

    AttemptOutcome(boolean mayHaveRun, boolean upstreamFault, boolean refusal) {
        mMayHaveRun = mayHaveRun;
        mUpstreamFault = upstreamFault;
        mRefusal = refusal;
    }

    /** Returns whether the upstream may have run the call. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns whether the upstream may have received the call. */
    public boolean wasSent() {
        return this != NOT_CONNECTED && this != WITHDRAWN;
    }

    /** Returns whether the upstream is at fault and gets no calls for some time. */
    public boolean isUpstreamFault() {
        return mUpstreamFault;
    }

    /** Returns whether the upstream refused the call and may accept it later. */
    public boolean isRefusal() {
        return mRefusal;
    }

    /** Returns whether there is a response of the upstream to pass to the caller. */
    public boolean hasResponse() {
        return this == ANSWERED || this == FAILED || this == REJECTED;
    }
}
