package org.fuchsialever.node.upstream;

import org.fuchsialever.decisions.dispatch.AttemptResult;

/** Failure of an attempt. */
public final class UpstreamException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final AttemptResult result;

    /** Creates an exception for an attempt that ended with the given result. */
    public UpstreamException(AttemptResult result, String message, Throwable cause) {
        super(message, cause);
        this.result = result;
    }

    /** Creates an exception for an attempt that ended with the given result. */
    public UpstreamException(AttemptResult result, String message) {
        super(message);
        this.result = result;
    }

    /** Returns the result of the attempt. */
    public AttemptResult result() {
        return result;
    }
}
