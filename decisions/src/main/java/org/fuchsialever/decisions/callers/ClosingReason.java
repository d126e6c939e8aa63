package org.fuchsialever.decisions.callers;

/** Why an instance closes a connection whose caller has not asked for it. */
public enum ClosingReason {
    /** Room was short, and no request had come for the longest time. */
    SILENT(0),
    /** The head took too long, or room was short and it had held room for the longest time. */
    HEAD(408),
    /** Room was short, and no further request had come for the longest time. */
    IDLE(0),
    /** The caller did not take a response. */
    UNREAD(0),
    /** There was no connection to close for a new one. */
    FULL(0),
    /** Requests sent ahead found no room. */
    AHEAD(0),
    /** The head exceeds the limit in bytes or in memory. */
    HEAD_TOO_LARGE(431),
    /** Empty lines came instead of a request. */
    EMPTY_LINES(400),
    /** Requests in progress are not closed for room. */
    NONE(0);

    private final int mStatus;

    ClosingReason(int status) {
        mStatus = status;
    }

    /** Returns the status that the caller is told, 0 if it is told none. */
    public int status() {
        return mStatus;
    }
}
