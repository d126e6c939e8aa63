package org.fuchsialever.node.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.fuchsialever.decisions.batch.BatchContent;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.batch.ItemResult;
import org.fuchsialever.decisions.batch.TextKey;
import org.fuchsialever.decisions.batch.TextSegment;
import org.fuchsialever.services.rows.RowKey;
import org.fuchsialever.services.rows.StoredRow;

/** Encodes and decodes the rows of submissions and results, which are JSON. */
public final class BatchRows {
    /** Table of the state rows; the key is the ID of the submission. */
    public static final String STATES = "batches";

    /** Table of the results; the key is the submission's ID, a slash and the position. */
    public static final String RESULTS = "results";

    /** Table of the stored texts of unfinished items; see {@link #textKey}. */
    public static final String TEXTS = "texts";

    /** Below the store's limit of 64 KiB per row. */
    private static final int MAX_ROW_BYTES = 60_000;

    private static final String CONTINUATION = "+";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private BatchRows() {}

    /** Returns the key of the state row of a submission. */
    public static RowKey stateKey(String id) {
        return new RowKey(STATES, id);
    }

    /** Returns the key from which the results of a submission begin at a position. */
    public static String resultKey(String id, int position) {
        return String.format("%s/%06d", id, position);
    }

    /** Returns the key after all results of a submission. */
    public static String resultsEndKey(String id) {
        return id + "/~";
    }

    /** Returns the key of a stored segment; texts of a model are next to each other. */
    static RowKey textKey(String model, TextKey key) {
        return new RowKey(
                TEXTS,
                String.format(Locale.ROOT, "%s/%s/%06d", model, key.itemId(), key.firstEvent()));
    }

    /** Returns the key before all stored segments of a model. */
    static String textsStartKey(String model) {
        return model + "/";
    }

    /** Returns the key after all stored segments of a model. */
    static String textsEndKey(String model) {
        return model + "0";
    }

    /** Encodes a segment with the time at which it is stored, by the clock of the store. */
    static byte[] encode(TextSegment segment, long storeMillis) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("item", segment.itemId())
                        .put("first", segment.firstEvent())
                        .put("run", segment.run())
                        .put("continues", segment.continues())
                        .put("at", storeMillis);
        ArrayNode events = node.putArray("events");
        segment.events().forEach(events::add);
        ArrayNode versions = node.putArray("versions");
        segment.versions().forEach(versions::add);
        return bytes(node);
    }

    /** Decodes a segment, or returns what is wrong with the row. */
    static Either<String, TextSegment> decodeText(byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            if (node == null || !node.path("item").isTextual() || !node.path("events").isArray()) {
                return Either.left("not a segment of a text");
            }
            List<String> events = new ArrayList<>();
            node.path("events").forEach(event -> events.add(event.asText()));
            List<Long> versions = new ArrayList<>();
            node.path("versions").forEach(version -> versions.add(version.asLong()));
            return Either.right(
                    new TextSegment(
                            node.path("item").asText(),
                            node.path("first").asLong(),
                            node.path("run").asText(),
                            node.path("continues").asText(),
                            events,
                            versions));
        } catch (IOException e) {
            return Either.left("not JSON: " + e.getMessage());
        }
    }

    /** Returns when a segment was stored, in milliseconds of the store's clock; 0 if unreadable. */
    static long textStoredMillis(byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            return node == null ? 0 : node.path("at").asLong();
        } catch (IOException e) {
            // An unreadable row counts as old, so that it is removed.
            return 0;
        }
    }

    /** Encodes the state of a submission. */
    public static byte[] encode(BatchState state) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("id", state.id())
                        .put("team", state.team())
                        .put("host", state.host())
                        .put("path", state.path())
                        .put("total", state.itemCount())
                        .put("listed", state.resultCount())
                        .put("submitted", state.submittedMillis())
                        .put("owner", state.owner())
                        .put("start", state.ownerStartId())
                        .put("epoch", state.epoch())
                        .put("ended", state.ended())
                        .put("model", state.content().model())
                        .put("minVersion", state.content().minVersion())
                        .put("copy", state.content().copyNumber());
        if (state.content().expectedTokens() > 0) {
            node.put("tokens", state.content().expectedTokens());
        }
        if (state.content().memoryBytes() > 0) {
            node.put("bytes", state.content().memoryBytes());
        }
        return bytes(node);
    }

    /** Decodes a state row, or returns what is wrong with it. */
    public static Either<String, BatchState> decodeState(byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            if (node == null || !node.path("id").isTextual() || !node.path("total").isInt()) {
                return Either.left("not the state of a submission");
            }
            return Either.right(
                    new BatchState(
                            node.path("id").asText(),
                            node.path("team").asText(),
                            node.path("host").asText(),
                            node.path("path").asText(),
                            node.path("total").asInt(),
                            node.path("listed").asInt(),
                            node.path("submitted").asLong(),
                            node.path("owner").asText(),
                            node.path("start").asText(),
                            node.path("epoch").asLong(),
                            node.path("ended").asBoolean(),
                            new BatchContent(
                                    node.path("model").asText(),
                                    node.path("minVersion").asLong(),
                                    node.path("copy").asInt(),
                                    node.path("tokens").asLong(),
                                    node.path("bytes").asLong())));
        } catch (IOException e) {
            return Either.left("not JSON: " + e.getMessage());
        }
    }

    /** Adds the rows of a result; a result above the row limit continues in further rows. */
    static void encode(String id, int position, ItemResult result, Map<RowKey, byte[]> puts) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("item", result.itemId())
                        .put("completed", result.completed())
                        .put("text", result.text())
                        .put("score", result.score());
        ArrayNode versions = node.putArray("versions");
        result.versions().forEach(versions::add);
        byte[] content = bytes(node);
        String key = resultKey(id, position);
        int part = 0;
        for (int from = 0; from < content.length; from += MAX_ROW_BYTES) {
            byte[] value =
                    Arrays.copyOfRange(
                            content, from, Math.min(content.length, from + MAX_ROW_BYTES));
            String suffix = part == 0 ? "" : CONTINUATION + part;
            puts.put(new RowKey(RESULTS, key + suffix), value);
            part++;
        }
    }

    /**
     * Decodes results from rows in the order of their keys.
     *
     * @param complete whether all rows of the last result are included; if not, it is left out
     */
    static Either<String, List<ItemResult>> decodeResults(List<StoredRow> rows, boolean complete) {
        List<ItemResult> results = new ArrayList<>();
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        for (StoredRow row : rows) {
            boolean continues = row.key().key().contains(CONTINUATION);
            if (!continues && content.size() > 0) {
                Either<String, ItemResult> result = decodeResult(content.toByteArray());
                if (result.isLeft()) {
                    return Either.left(result.getLeft());
                }
                results.add(result.get());
                content.reset();
            }
            content.writeBytes(row.value());
        }
        if (complete && content.size() > 0) {
            Either<String, ItemResult> result = decodeResult(content.toByteArray());
            if (result.isLeft()) {
                return Either.left(result.getLeft());
            }
            results.add(result.get());
        }
        return Either.right(results);
    }

    private static Either<String, ItemResult> decodeResult(byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            if (node == null || !node.path("item").isTextual()) {
                return Either.left("not the result of an item");
            }
            List<Long> versions = new ArrayList<>();
            node.path("versions").forEach(version -> versions.add(version.asLong()));
            return Either.right(
                    new ItemResult(
                            node.path("item").asText(),
                            node.path("completed").asBoolean(),
                            node.path("text").asText(),
                            versions,
                            node.path("score").asText()));
        } catch (IOException e) {
            return Either.left("not JSON: " + e.getMessage());
        }
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }
}
