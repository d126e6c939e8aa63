package org.fuchsialever.services.exchange;

/** Whether a response belongs to the request that waits for it. */
public enum ResponseMatch {
    /** The response names the request. */
    NAMED(true, true),
    /** The response names no request, as refusals before the request has been read. */
    UNNAMED(true, false),
    /** The response names another request, or none although it must. */
    FOREIGN(false, false);

    private final boolean mOwn;
    private final boolean mIdentifiesRequest;

    ResponseMatch(boolean own, boolean identifiesRequest) {
        mOwn = own;
        mIdentifiesRequest = identifiesRequest;
    }

    /** Returns whether the response is that of the request; others are skipped. */
    public boolean isOwn() {
        return mOwn;
    }

    /** Returns whether a copy of the response can be told from the response to a later request. */
    public boolean identifiesRequest() {
        return mIdentifiesRequest;
    }
}
