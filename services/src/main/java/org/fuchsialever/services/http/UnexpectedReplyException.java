package org.fuchsialever.services.http;

/** An answer that the protocol does not name. */
final class UnexpectedReplyException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean refused;

    UnexpectedReplyException(String message, boolean refused) {
        super(message);
        this.refused = refused;
    }

    /** Returns whether the answer says that the request was refused without any effect. */
    boolean refused() {
        return refused;
    }
}
