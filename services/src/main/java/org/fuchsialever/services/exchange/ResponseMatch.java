package org.fuchsialever.services.exchange;

/** Whether a response belongs to the request that waits for it. */
public enum ResponseMatch {
    /** The response names the request. */
    NAMED(true),
    /** The response names no request, as refusals before the request has been read. */
    UNNAMED(true),
    /** The response names another request, or none although it must. */
    FOREIGN(false);

    private final boolean mOwn;

    ResponseMatch(boolean own) {
        mOwn = own;
    }

    /** Returns whether the response is that of the request; others are skipped. */
    public boolean isOwn() {
        return mOwn;
    }
}
