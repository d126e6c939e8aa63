package org.fuchsialever.services.http;

/** Thrown for a response that does not conform to the protocol. */
final class UnexpectedResponseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean refused;

    UnexpectedResponseException(String message, boolean refused) {
        super(message);
        this.refused = refused;
    }

    /** Returns whether the response means that the request was refused without an effect. */
    boolean refused() {
        return refused;
    }
}
