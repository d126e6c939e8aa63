package org.fuchsialever.services.exchange;

import io.netty.handler.codec.http.HttpHeaders;

/** Receives a response. Called in the event loop; must not block. */
public interface ExchangeListener {

    /**
     * Returns whether the request may still be sent. Asked before a connection is opened, and again
     * once it is open.
     */
    default boolean maySend() {
        return true;
    }

    /** Handles the choice of the connection; called once, before the request is sent. */
    default void onConnection(ConnectionUse use) {}

    /** Handles the arrival of a final response on the connection, also of one that is skipped. */
    default void onResponse(int status, ResponseMatch match) {}

    /** Handles the head of the response. */
    void onHead(int status, HttpHeaders headers);

    /**
     * Handles a part of the body.
     *
     * @return whether it is progress; bytes alone do not keep a stalled response alive
     */
    ContentVerdict onContent(byte[] bytes);

    /** Handles the end of the exchange; called once, as the last call. */
    void onEnd(ExchangeOutcome outcome);
}
