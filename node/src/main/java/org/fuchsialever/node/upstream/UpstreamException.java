package org.fuchsialever.node.upstream;

import org.fuchsialever.decisions.dispatch.AttemptResult;

/** An attempt failed. */
public final class UpstreamException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final AttemptResult result;

    /** Creates an exception for the way in which the attempt ended. */
    public UpstreamException(AttemptResult result, String message, Throwable cause) {
        super(message, cause);
        this.result = result;
    }

    /** Creates an exception for the way in which the attempt ended. */
    public UpstreamException(AttemptResult result, String message) {
        super(message);
        this.result = result;
    }

    /** Returns how the attempt ended. */
    public AttemptResult result() {
        return result;
    }
}
