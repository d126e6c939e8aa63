package org.fuchsialever.services.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.function.Predicate;

/**
 * A request to one address.
 *
 * @param host IP address
 * @param port TCP port
 * @param method HTTP method
 * @param uri path and query
 * @param headers header fields; the length of the body is added
 * @param body the body, may be empty
 * @param responseMatcher tells from the status and the header fields whether a response answers
 *     this request; others are skipped
 * @param firstByteTimeout the longest wait for the head of the response
 * @param idleTimeout the longest wait between parts of the response
 */
public record ExchangeRequest(
        String host,
        int port,
        String method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        Predicate<ResponseHead> responseMatcher,
        Duration firstByteTimeout,
        Duration idleTimeout) {

    /**
     * Status and header fields of a response.
     *
     * @param status HTTP status
     * @param headers its header fields
     */
    public record ResponseHead(int status, HttpHeaders headers) {}
}
