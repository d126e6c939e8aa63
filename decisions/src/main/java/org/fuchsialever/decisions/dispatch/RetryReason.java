package org.fuchsialever.decisions.dispatch;

import java.util.Locale;

/** Why a request is sent to an upstream again. */
public enum RetryReason {
    /** The connection could not be opened. */
    NOT_CONNECTED(true),
    /** The upstream reported that it did not run the request. */
    NOT_ADMITTED(true),
    /** The upstream returned a server error. */
    UPSTREAM_ERROR(false),
    /** The connection broke after the request was sent. */
    CONNECTION_LOST(false),
    /** The connection or the upstream stopped responding. */
    SILENT(false),
    /** The response was malformed. */
    MALFORMED_ANSWER(false),
    /** The upstream is leaving and the request can be resumed at another one. */
    UPSTREAM_LEAVING(false);

    private final boolean mProvesNotRun;

    RetryReason(boolean provesNotRun) {
        mProvesNotRun = provesNotRun;
    }

    /**
     * Returns whether the earlier attempt is proven not to have run, so that any request may be
     * retried.
     */
    public boolean provesNotRun() {
        return mProvesNotRun;
    }

    /** Returns the name used in metrics and responses, such as {@code not-connected}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
