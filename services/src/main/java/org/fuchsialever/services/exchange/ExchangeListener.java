package org.fuchsialever.services.exchange;

import io.netty.handler.codec.http.HttpHeaders;

/** Receives a response, in the event loop; must not block. */
public interface ExchangeListener {

    /** The head of the response has arrived. */
    void onHead(int status, HttpHeaders headers);

    /** A part of the body has arrived. */
    void onContent(byte[] bytes);

    /** The exchange has ended; called once, and nothing is called afterwards. */
    void onEnd(ExchangeOutcome end);
}
