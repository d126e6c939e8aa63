package org.fuchsialever.node.metering;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import org.fuchsialever.services.rows.RowChange;
import org.fuchsialever.services.rows.RowChangeResult;
import org.fuchsialever.services.rows.RowKey;
import org.fuchsialever.services.rows.RowStore;
import org.fuchsialever.services.rows.StoredRow;
import reactor.core.publisher.Mono;

/** Rows with usage counts. */
final class MeteringRows {
    /** Usage counts by window and process; the key is the window, a slash and the process. */
    private static final String COUNTS = "usage";

    /** Usage counts of closed windows; the key is the window. */
    private static final String REPORTS = "usage-reports";

    private static final int MAX_ROWS = 500;

    /** Below the store's limit of 100 entries per change. */
    private static final int MAX_REMOVALS = 90;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final RowStore mRows;
    private final String mProcess;

    MeteringRows(RowStore rows, String process) {
        mRows = rows;
        mProcess = process;
    }

    /** Writes the counts of this process. */
    Mono<RowChangeResult> write(long window, Map<String, Long> counts) {
        RowKey key = new RowKey(COUNTS, window + "/" + mProcess);
        return mRows.change(new RowChange(Map.of(), Map.of(key, encode(counts)), List.of()));
    }

    /** Returns the sum of the counts of all processes. */
    Mono<Map<String, Long>> sum(long window) {
        return sum(window, window + "/", new TreeMap<>());
    }

    private Mono<Map<String, Long>> sum(long window, String from, Map<String, Long> sum) {
        return mRows.range(COUNTS, from, window + "/~", MAX_ROWS)
                .flatMap(
                        page -> {
                            for (StoredRow row : page.rows()) {
                                decode(row.value())
                                        .forEach((team, n) -> sum.merge(team, n, Long::sum));
                            }
                            if (!page.hasMore() || page.rows().isEmpty()) {
                                return Mono.just(sum);
                            }
                            StoredRow last = page.rows().get(page.rows().size() - 1);
                            return sum(window, last.key().key() + "\u0001", sum);
                        });
    }

    /** Removes the counts of a window that is reported; the closed window stays. */
    Mono<Void> removeCounts(long window) {
        return mRows.range(COUNTS, window + "/", window + "/~", MAX_REMOVALS)
                .flatMap(
                        page -> {
                            if (page.rows().isEmpty()) {
                                return Mono.empty();
                            }
                            List<RowKey> keys = page.rows().stream().map(StoredRow::key).toList();
                            return mRows.change(new RowChange(Map.of(), Map.of(), keys))
                                    .then(Mono.defer(() -> removeCounts(window)));
                        });
    }

    /** Closes a window unless it is closed already; returns the counts of the closed window. */
    Mono<Map<String, Long>> close(long window, Map<String, Long> counts) {
        RowKey key = new RowKey(REPORTS, Long.toString(window));
        return mRows.change(new RowChange(Map.of(key, 0L), Map.of(key, encode(counts)), List.of()))
                .map(
                        result -> {
                            if (result instanceof RowChangeResult.Rejected rejected
                                    && !rejected.currentRows().isEmpty()) {
                                return decode(rejected.currentRows().get(0).value());
                            }
                            return counts;
                        });
    }

    /**
     * Returns the last closed window of a range (both inclusive), or -1. Larger numbers come from a
     * time when windows were shorter.
     */
    Mono<Long> lastClosed(long fromWindow, long toWindow) {
        return mRows.range(REPORTS, Long.toString(fromWindow), "", MAX_ROWS)
                .map(
                        page ->
                                page.rows().stream()
                                        .mapToLong(row -> Long.parseLong(row.key().key()))
                                        .filter(window -> window <= toWindow)
                                        .max()
                                        .orElse(-1));
    }

    private static byte[] encode(Map<String, Long> counts) {
        try {
            return MAPPER.writeValueAsBytes(new TreeMap<>(counts));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the counts of a window", e);
        }
    }

    private static Map<String, Long> decode(byte[] value) {
        try {
            Map<String, Long> counts = new TreeMap<>();
            JsonNode node = MAPPER.readTree(value);
            node.fields()
                    .forEachRemaining(team -> counts.put(team.getKey(), team.getValue().asLong()));
            return counts;
        } catch (IOException e) {
            throw new PlatformException(Effect.NONE, "counts of a window are not JSON", e);
        }
    }
}
