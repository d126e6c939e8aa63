package org.fuchsialever.services.http;

/** Thrown for a response that does not conform to the protocol. */
final class UnexpectedResponseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean mRefused;

    UnexpectedResponseException(String message, boolean refused) {
        super(message);
        mRefused = refused;
    }

    /** Returns whether the response means that the request was refused without an effect. */
    boolean refused() {
        return mRefused;
    }
}
