package org.fuchsialever.decisions.dispatch;

import io.vavr.control.Option;

/** How one attempt at an upstream ended. */
public enum AttemptResult {
    /** The whole answer arrived. */
    COMPLETED(Outcome.COMPLETED, null),
    /** The connection could not be opened, or no byte of the request was written. */
    NOT_CONNECTED(Outcome.NOT_RUN, RetryReason.NOT_CONNECTED),
    /** The upstream stated that it did not run the request. */
    NOT_ADMITTED(Outcome.NOT_RUN, RetryReason.NOT_ADMITTED),
    /** The upstream answered with a server error. */
    UPSTREAM_ERROR(Outcome.FAILED_AFTER_RUNNING, RetryReason.UPSTREAM_ERROR),
    /** The connection broke after the first byte of the request was written. */
    CONNECTION_LOST(Outcome.UNKNOWN, RetryReason.CONNECTION_LOST),
    /** No first byte or no progress arrived in time. */
    SILENT(Outcome.UNKNOWN, RetryReason.SILENT),
    /** The answer had a form that cannot be used. */
    MALFORMED_ANSWER(Outcome.UNKNOWN, RetryReason.MALFORMED_ANSWER),
    /** This instance cancelled the attempt. */
    CANCELLED(Outcome.UNKNOWN, null);

    private final Outcome outcome;
    private final Option<RetryReason> retryReason;

    AttemptResult(Outcome outcome, @org.jspecify.annotations.Nullable RetryReason retryReason) {
        this.outcome = outcome;
        this.retryReason = Option.of(retryReason);
    }

    /** Returns what is known about the request if no further attempt is made. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the reason under which a retry is counted, or none if a retry makes no sense. */
    public Option<RetryReason> retryReason() {
        return retryReason;
    }
}
