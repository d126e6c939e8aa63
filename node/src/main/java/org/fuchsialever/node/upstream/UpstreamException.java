package org.fuchsialever.node.upstream;

import org.fuchsialever.decisions.dispatch.AttemptResult;

/** Failure of an attempt. */
public final class UpstreamException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final AttemptResult mResult;

    /** Creates an exception for an attempt that ended with the given result. */
    public UpstreamException(AttemptResult result, String message, Throwable cause) {
        super(message, cause);
        mResult = result;
    }

    /** Creates an exception for an attempt that ended with the given result. */
    public UpstreamException(AttemptResult result, String message) {
        super(message);
        mResult = result;
    }

    /** Returns the result of the attempt. */
    public AttemptResult result() {
        return mResult;
    }
}
