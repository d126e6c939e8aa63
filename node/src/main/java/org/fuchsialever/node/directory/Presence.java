package org.fuchsialever.node.directory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * A sign of life of an instance.
 *
 * @param instance its name
 * @param start identity of its process
 * @param storeMillis when it was written, by the steady clock of the store in milliseconds
 * @param leaving whether the instance is shutting down
 */
public record Presence(String instance, String start, long storeMillis, boolean leaving) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Writes the row. */
    public byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(
                    MAPPER.createObjectNode()
                            .put("start", start)
                            .put("at", storeMillis)
                            .put("leaving", leaving));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of values cannot be written", e);
        }
    }

    /** Reads a row, or says what is wrong with it. */
    static Either<String, Presence> decode(String instance, byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            if (node == null || !node.path("start").isTextual()) {
                return Either.left("not a sign of life");
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
