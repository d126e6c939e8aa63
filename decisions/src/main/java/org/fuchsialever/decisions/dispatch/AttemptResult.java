package org.fuchsialever.decisions.dispatch;

import io.vavr.control.Option;

/** How one attempt at an upstream ended. */
public enum AttemptResult {
    /** The complete response arrived. */
    COMPLETED(Outcome.COMPLETED, null),
    /** The connection could not be opened, or no byte of the request was written. */
    NOT_CONNECTED(Outcome.NOT_RUN, RetryReason.NOT_CONNECTED),
    /** The upstream reported that it did not run the request. */
    NOT_ADMITTED(Outcome.NOT_RUN, RetryReason.NOT_ADMITTED),
    /** The upstream returned a server error. */
    UPSTREAM_ERROR(Outcome.FAILED_AFTER_RUNNING, RetryReason.UPSTREAM_ERROR),
    /** The connection broke after the first byte of the request was written. */
    CONNECTION_LOST(Outcome.UNKNOWN, RetryReason.CONNECTION_LOST),
    /** The first byte or further progress did not arrive within the timeout. */
    SILENT(Outcome.UNKNOWN, RetryReason.SILENT),
    /** The response was malformed. */
    MALFORMED_ANSWER(Outcome.UNKNOWN, RetryReason.MALFORMED_ANSWER),
    /** This instance cancelled the attempt. */
    CANCELLED(Outcome.UNKNOWN, null);

    private final Outcome mOutcome;
    private final Option<RetryReason> mRetryReason;

    AttemptResult(Outcome outcome, @org.jspecify.annotations.Nullable RetryReason retryReason) {
        mOutcome = outcome;
        mRetryReason = Option.of(retryReason);
    }

    /** Returns what is known about the request if no further attempt is made. */
    public Outcome outcome() {
        return mOutcome;
    }

    /**
     * Returns the reason under which a retry is counted, or none if this result is never retried.
     */
    public Option<RetryReason> retryReason() {
        return mRetryReason;
    }
}
