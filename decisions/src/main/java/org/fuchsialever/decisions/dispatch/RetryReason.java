package org.fuchsialever.decisions.dispatch;

import java.util.Locale;

/** Why a request is sent to an upstream again. */
public enum RetryReason {
    /** The connection could not be opened. */
    NOT_CONNECTED(true),
    /** The upstream stated that it did not run the request. */
    NOT_ADMITTED(true),
    /** The upstream answered with a server error. */
    UPSTREAM_ERROR(false),
    /** The connection broke after the request was sent. */
    CONNECTION_LOST(false),
    /** The connection or the upstream went silent. */
    SILENT(false),
    /** The answer had a form that cannot be used. */
    MALFORMED_ANSWER(false),
    /** The upstream is leaving and the work can be resumed elsewhere. */
    UPSTREAM_LEAVING(false);

    private final boolean provesNotRun;

    RetryReason(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }

    /** Returns whether the earlier attempt certainly did not run, so that any request may retry. */
    public boolean provesNotRun() {
        return provesNotRun;
    }

    /** Returns the name used in metrics and answers, such as {@code not-connected}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
