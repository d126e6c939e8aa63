package org.fuchsialever.node.entry;

/** Why an instance refuses a request; the names are part of the response. */
enum EntryRefusal {
    /** No manifest has been read yet. */
    NO_MANIFEST(503),
    /** No route matches. */
    NO_ROUTE(404),
    /** The request has no key or an unknown one. */
    UNKNOWN_KEY(401),
    /** There is no such submission or item. */
    NO_SUBJECT(404),
    /** The route takes submissions only. */
    METHOD(405),
    /** The submission cannot be parsed. */
    MALFORMED(400),
    /** Another submission has the ID. */
    IDENTITY_TAKEN(409),
    /** The body is larger than the manifest allows. */
    BODY_TOO_LARGE(413),
    /** Nothing has run; the caller may retry. */
    NOT_RUN(503),
    /** The call may have run, but its response is lost. */
    ANSWER_LOST(502),
    /** The deadline of the call has passed; it may have run. */
    LATE(504);

    private final int mStatus;

    EntryRefusal(int status) {
        mStatus = status;
    }

    /** Returns the HTTP status. */
    int status() {
        return mStatus;
    }
}
