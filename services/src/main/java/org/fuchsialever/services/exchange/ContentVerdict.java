package org.fuchsialever.services.exchange;

/** What a part of a response body means for the exchange. */
public enum ContentVerdict {
    /** The response has progressed; the idle timeout starts again. */
    PROGRESS(true, false),
    /** The bytes are permitted but complete nothing; the idle timeout continues. */
    NO_PROGRESS(false, false),
    /** The bytes cannot belong to a valid response; the connection is closed. */
    INVALID(false, true);

    private final boolean mRestartsIdleTimeout;
    private final boolean mEndsExchange;

    ContentVerdict(boolean restartsIdleTimeout, boolean endsExchange) {
        mRestartsIdleTimeout = restartsIdleTimeout;
        mEndsExchange = endsExchange;
    }

    /** Returns whether the idle timeout starts again. */
    public boolean restartsIdleTimeout() {
        return mRestartsIdleTimeout;
    }

    /** Returns whether the exchange ends as malformed. */
    public boolean endsExchange() {
        return mEndsExchange;
    }
}
