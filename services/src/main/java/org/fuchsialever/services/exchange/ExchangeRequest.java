package org.fuchsialever.services.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.function.Function;

/**
 * A request to one address.
 *
 * @param host IP address
 * @param uri path and query
 * @param headers header fields; the client adds the length of the body
 * @param body the body, may be empty
 * @param id the ID that responses name, empty if the request has none
 * @param responseMatcher whether a response with the given head belongs to this request; other
 *     final responses are skipped
 * @param firstByteTimeout the maximum wait for the head of the response
 * @param idleTimeout the maximum wait between parts of the response
 */
public record ExchangeRequest(
        String host,
        int port,
        String method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        String id,
        Function<ResponseHead, ResponseMatch> responseMatcher,
        Duration firstByteTimeout,
        Duration idleTimeout) {

    /** Status and header fields of a response. */
    public record ResponseHead(int status, HttpHeaders headers) {}
}
