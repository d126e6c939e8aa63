package org.fuchsialever.decisions.forward;

/** How one attempt at an upstream has ended. */
public enum AttemptOutcome {
    /** The upstream gave its whole answer, and it was no server error. */
    ANSWERED(true, false, false),
    /** The upstream ran the call and answered with a server error. */
    FAILED(true, false, false),
    /** The upstream ran the call and said that it can never succeed. */
    REJECTED(true, false, false),
    /** The upstream said that it did not run the call. */
    NOT_RUN(false, false, true),
    /** Another upstream answered at the address; the call did not run. */
    WRONG_INSTANCE(false, true, false),
    /** The upstream holds another weight version than the call names; the call did not run. */
    WRONG_VERSION(false, false, true),
    /** No connection was opened and nothing was sent. */
    NOT_CONNECTED(false, true, false),
    /** The connection broke after the call was sent. */
    LOST(true, true, false),
    /** The upstream was silent for too long. */
    SILENT(true, true, false),
    /** The answer cannot be the upstream's whole answer to this call. */
    MALFORMED(true, false, false),
    /** This instance ended the attempt. */
    CANCELLED(true, false, false);

    private final boolean mayHaveRun;
    private final boolean upstreamFault;
    private final boolean refusal;

    AttemptOutcome(boolean mayHaveRun, boolean upstreamFault, boolean refusal) {
        this.mayHaveRun = mayHaveRun;
        this.upstreamFault = upstreamFault;
        this.refusal = refusal;
    }

    /** Returns whether the upstream may have run the call. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the upstream should get no calls for some time. */
    public boolean isUpstreamFault() {
        return upstreamFault;
    }

    /** Returns whether the upstream refused the call for now. */
    public boolean isRefusal() {
        return refusal;
    }

    /** Returns whether the upstream's own answer can be passed to the caller. */
    public boolean hasResponse() {
        return this == ANSWERED || this == FAILED || this == REJECTED;
    }
}
