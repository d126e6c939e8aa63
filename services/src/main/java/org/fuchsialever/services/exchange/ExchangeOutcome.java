package org.fuchsialever.services.exchange;

/** How an exchange has ended. */
public enum ExchangeOutcome {
    /** The whole response has arrived. */
    COMPLETE,
    /** No connection was opened; nothing was sent. */
    NOT_CONNECTED,
    /** The connection broke after the request was sent. */
    LOST,
    /** Nothing arrived for too long. */
    SILENT,
    /** What arrived is no HTTP response. */
    MALFORMED,
    /** The caller of the client ended the exchange. */
    CANCELLED
}
