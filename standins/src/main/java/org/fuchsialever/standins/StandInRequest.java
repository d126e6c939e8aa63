package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A completely received HTTP request.
 *
 * @param method the HTTP method
 * @param uri path and query as received
 * @param pathArguments the decoded groups of the path pattern
 * @param headers the header fields
 * @param body the body, possibly empty
 * @param remotePort the TCP port of the sender
 */
record StandInRequest(
        String method,
        String uri,
        List<String> pathArguments,
        HttpHeaders headers,
        byte[] body,
        int remotePort) {
    private static final Pattern CALLER_KEY = Pattern.compile("fl_[0-9A-Za-z-]+_[0-9A-Za-z]{16,}");

    /** Returns whether the request carries an {@code Authorization} field or a caller's key. */
    boolean hasCredentials() {
        return headers.contains("Authorization")
                || CALLER_KEY.matcher(uri).find()
                || headers.entries().stream()
                        .anyMatch(field -> CALLER_KEY.matcher(field.getValue()).find())
                || CALLER_KEY.matcher(new String(body, StandardCharsets.UTF_8)).find();
    }

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
