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
import java.util.Map;
import org.fuchsialever.decisions.batch.BatchContent;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.batch.ItemResult;
import org.fuchsialever.services.rows.RowKey;
import org.fuchsialever.services.rows.StoredRow;

/** Form of the rows of submissions and results. */
public final class BatchRows {
    /** Table of the heads; the key is the identity of the submission. */
    public static final String STATES = "batches";

    /** Table of the results; the key is the identity, a slash and the position. */
    public static final String RESULTS = "results";

    /** Below the store's limit of 64 KiB a row. */
    private static final int MOST_ROW_BYTES = 60_000;

    private static final String CONTINUATION = "+";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private BatchRows() {}

    /** Returns the key of the head of a submission. */
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

    /** Writes a head. */
    public static byte[] encode(BatchState head) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("id", head.id())
                        .put("team", head.team())
                        .put("host", head.host())
                        .put("path", head.path())
                        .put("total", head.itemCount())
                        .put("listed", head.resultCount())
                        .put("submitted", head.submittedMillis())
                        .put("owner", head.owner())
                        .put("start", head.ownerStartId())
                        .put("epoch", head.epoch())
                        .put("ended", head.ended())
                        .put("model", head.content().model())
                        .put("minVersion", head.content().minVersion())
                        .put("copy", head.content().copyNumber());
        return bytes(node);
    }

    /** Reads a head, or says what is wrong with it. */
    public static Either<String, BatchState> decodeState(byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            if (node == null || !node.path("id").isTextual() || !node.path("total").isInt()) {
                return Either.left("not the head of a submission");
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
                                    node.path("copy").asInt())));
        } catch (IOException e) {
            return Either.left("not JSON: " + e.getMessage());
        }
    }

    /** Adds the rows of a result; a long one is continued in further rows. */
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
        for (int from = 0; from < content.length; from += MOST_ROW_BYTES) {
            byte[] value =
                    Arrays.copyOfRange(
                            content, from, Math.min(content.length, from + MOST_ROW_BYTES));
            String suffix = part == 0 ? "" : CONTINUATION + part;
            puts.put(new RowKey(RESULTS, key + suffix), value);
            part++;
        }
    }

    /**
     * Reads results from rows in the order of their keys.
     *
     * @param complete whether the rows of the last result are all there
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
            throw new IllegalStateException("a tree of values cannot be written", e);
        }
    }
}
