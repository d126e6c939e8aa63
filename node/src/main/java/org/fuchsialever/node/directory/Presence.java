package org.fuchsialever.node.directory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.decisions.version.EngineReport;

/**
 * A slot of the working set, which its member renews as a heartbeat.
 *
 * @param slot number of the slot
 * @param instance name of the instance
 * @param start start ID of its process
 * @param storeMillis when it was written, by the clock of the store, in milliseconds
 * @param leaving whether the instance is shutting down
 * @param engines what the instance tells about engines
 */
public record Presence(
        int slot,
        String instance,
        String start,
        long storeMillis,
        boolean leaving,
        EngineReport engines) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the key of the row of a slot. */
    public static String key(int slot) {
        return String.format(Locale.ROOT, "%03d", slot);
    }

    /** Returns the slot whose row has this key, or none for another row. */
    static Option<Integer> slotOf(String key) {
        return key.matches("[0-9]{1,3}") ? Option.some(Integer.parseInt(key)) : Option.none();
    }

    /** Encodes the value of the row. */
    public byte[] encode() {
        try {
            ObjectNode node =
                    MAPPER.createObjectNode()
                            .put("instance", instance)
                            .put("start", start)
                            .put("at", storeMillis)
                            .put("leaving", leaving);
            // Absent fields save bytes, because slots are written several times a second.
            if (!engines.reportingServices().isEmpty()) {
                ArrayNode services = node.putArray("reporting");
                engines.reportingServices().forEach(services::add);
            }
            if (!engines.speedPercents().isEmpty()) {
                ObjectNode speeds = node.putObject("speeds");
                engines.speedPercents().forEach(speeds::put);
            }
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    /** Decodes a row, or returns what is wrong with it. */
    public static Either<String, Presence> decode(String key, byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            if (node == null || slotOf(key).isEmpty() || !node.path("instance").isTextual()) {
                return Either.left("not a slot");
            }
            return Either.right(
                    new Presence(
                            Integer.parseInt(key),
                            node.path("instance").asText(),
                            node.path("start").asText(),
                            node.path("at").asLong(),
                            node.path("leaving").asBoolean(),
                            engines(node)));
        } catch (IOException e) {
            return Either.left("not JSON: " + e.getMessage());
        }
    }

    private static EngineReport engines(JsonNode node) {
        if (!node.has("reporting") && !node.has("speeds")) {
            return EngineReport.NONE;
        }
        Set<String> services = new HashSet<>();
        node.path("reporting").forEach(service -> services.add(service.asText()));
        Map<String, Integer> speeds = new HashMap<>();
        node.path("speeds")
                .fields()
                .forEachRemaining(
                        field -> {
                            if (field.getValue().asInt() > 0) {
                                speeds.put(field.getKey(), field.getValue().asInt());
                            }
                        });
        return new EngineReport(services, speeds);
    }
}
