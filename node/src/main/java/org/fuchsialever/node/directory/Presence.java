package org.fuchsialever.node.directory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * A heartbeat of an instance.
 *
 * @param instance name of the instance
 * @param start start ID of its process
 * @param storeMillis when it was written, by the clock of the store, in milliseconds
 * @param leaving whether the instance is shutting down
 */
public record Presence(String instance, String start, long storeMillis, boolean leaving) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Encodes the value of the row. */
    public byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(
                    MAPPER.createObjectNode()
                            .put("start", start)
                            .put("at", storeMillis)
                            .put("leaving", leaving));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    /** Decodes a row, or returns what is wrong with it. */
    static Either<String, Presence> decode(String instance, byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            if (node == null || !node.path("start").isTextual()) {
                return Either.left("not a heartbeat");
            }
            return Either.right(
                    new Presence(
                            instance,
                            node.path("start").asText(),
                            node.path("at").asLong(),
                            node.path("leaving").asBoolean()));
        } catch (IOException e) {
            return Either.left("not JSON: " + e.getMessage());
        }
    }
}
