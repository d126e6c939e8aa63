package org.fuchsialever.services.rows;

/** The store no longer knows the changes since the version that was asked for. */
public final class HistoryLostException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception. */
    public HistoryLostException(String message) {
        super(message);
    }
}
