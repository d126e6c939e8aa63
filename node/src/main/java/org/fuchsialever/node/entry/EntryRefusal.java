package org.fuchsialever.node.entry;

/** Why an instance answers a request itself. */
enum EntryRefusal {
    /** No manifest has been read yet. */
    NO_MANIFEST(503),
    /** No route matches. */
    NO_ROUTE(404),
    /** The request shows no key that is known. */
    UNKNOWN_KEY(401),
    /** There is no such submission or item. */
    NO_SUBJECT(404),
    /** The route takes submissions only. */
    METHOD(405),
    /** The submission cannot be read. */
    MALFORMED(400),
    /** Another submission has the identity. */
    IDENTITY_TAKEN(409),
    /** The body is larger than the manifest allows. */
    BODY_TOO_LARGE(413),
    /** Nothing has run, and another try is worthwhile. */
    NOT_RUN(503),
    /** The call may have run and has no answer. */
    ANSWER_LOST(502),
    /** The time for the call is over; it may have run. */
    LATE(504);

    private final int status;

    EntryRefusal(int status) {
        this.status = status;
    }

    /** Returns the HTTP status. */
    int status() {
        return status;
    }
}
