package org.fuchsialever.node.watch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.WeightVersion;

/** Parses the load reports and cache events of an engine. */
final class EngineReportParser {
    private static final long HASH_SEED = 1_125_899_906_842_597L;
    private static final int PREFIX_CHARACTERS = 256;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineReportParser() {}

    /**
     * Parses a load report.
     *
     * @throws IllegalArgumentException if a field is missing or out of range
     * @throws UncheckedIOException if the text is not JSON
     */
    static LoadReport parseLoad(byte[] body, long wallMillis) {
        JsonNode json = json(body);
        long ageMillis = Math.max(0, wallMillis - number(json, "reported_at_millis"));
        return new LoadReport(
                (int) number(json, "running"),
                (int) number(json, "waiting"),
                (int) number(json, "slots"),
                new WeightVersion(json.path("weight_version").asLong()),
                json.path("engine_start").asText(),
                json.path("leaving").asBoolean(),
                TimeUnit.MILLISECONDS.toNanos(ageMillis));
    }

    /** Parses cache events; throws the same exceptions as {@link #parseLoad}. */
    static List<CacheEvent> parseCacheEvents(byte[] body) {
        List<CacheEvent> events = new ArrayList<>();
        for (JsonNode event : json(body).path("events")) {
            events.add(
                    new CacheEvent(
                            number(event, "seq"),
                            prefixHash(event.path("prefix").asText()),
                            event.path("stored").asBoolean()));
        }
        return events;
    }

    /** Returns the prefix hash of a prompt; must equal the hash that the front end computes. */
    static long prefixHash(String prompt) {
        long hash = HASH_SEED;
        int end = Math.min(prompt.length(), PREFIX_CHARACTERS);
        for (int i = 0; i < end; i++) {
            hash = 31 * hash + prompt.charAt(i);
        }
        return hash;
    }

    private static JsonNode json(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long number(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isIntegralNumber()) {
            throw new IllegalArgumentException("field " + field + " is missing or not an integer");
        }
        return value.asLong();
    }

    record CacheEvent(long sequence, long prefix, boolean stored) {}
}
