package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/**
 * A complete request.
 *
 * @param method the HTTP method
 * @param uri path and query as received
 * @param arguments the decoded groups of the path pattern
 * @param headers the header fields
 * @param body the body, possibly empty
 * @param remotePort the TCP port of the sender
 */
record StandInRequest(
        String method,
        String uri,
        List<String> arguments,
        HttpHeaders headers,
        byte[] body,
        int remotePort) {

    JsonNode json() {
        return Json.parse(body);
    }

    String path() {
        return new QueryStringDecoder(uri).path();
    }

    String header(String name) {
        return headers.get(name, "");
    }

    String query(String name, String fallback) {
        return new QueryStringDecoder(uri)
                .parameters()
                .getOrDefault(name, List.of(fallback))
                .get(0);
    }
}
