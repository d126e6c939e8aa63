package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import reactor.core.publisher.Flux;

/**
 * A response whose body is produced while it is sent.
 *
 * @param status the HTTP status
 * @param headers the header fields
 * @param body the parts of the body; each is flushed immediately
 */
record StandInResponse(int status, Map<String, String> headers, Flux<byte[]> body) {

    static StandInResponse json(int status, JsonNode body) {
        return bytes(status, "application/json", body.toString().getBytes(StandardCharsets.UTF_8));
    }

    static StandInResponse bytes(int status, String type, byte[] body) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", type);
        headers.put("Content-Length", Integer.toString(body.length));
        return new StandInResponse(status, headers, Flux.just(body));
    }

    static StandInResponse error(int status, String code) {
        return json(status, Json.error(code));
    }

    static StandInResponse events(Flux<byte[]> events) {
        return new StandInResponse(200, Map.of("Content-Type", "text/event-stream"), events);
    }

    StandInResponse with(String name, String value) {
        Map<String, String> extended = new LinkedHashMap<>(headers);
        extended.put(name, value);
        return new StandInResponse(status, extended, body);
    }
}
