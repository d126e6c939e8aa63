package org.fuchsialever.services.exchange;

/** How an exchange ended. */
public enum ExchangeOutcome {
    /** The complete response was received. */
    COMPLETE,
    /** No connection was opened; nothing was sent. */
    NOT_CONNECTED,
    /** The listener did not let the request be sent any more; nothing was sent. */
    WITHDRAWN,
    /** The connection broke after the request was sent. */
    LOST,
    /** Nothing was received within the timeout. */
    SILENT,
    /** The received bytes are not an HTTP response. */
    MALFORMED,
    /** The caller of the client cancelled the exchange. */
    CANCELLED
}
