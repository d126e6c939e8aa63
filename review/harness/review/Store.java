package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as PROTOCOL.md describes it, with its limits, and the receiver of usage
 * reports. In memory; nothing that it has acknowledged is lost.
 */
final class Store implements AutoCloseable {
    static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1_048_576;
    private static final int MAX_ROW_BYTES = 65_536;
    private static final int MAX_OBJECT_BYTES = 8_388_608;
    private static final int MAX_PAGE_ROWS = 500;
    private static final int MAX_PAGE_BYTES = 1_048_576;

    /** What the store does with a call; the default is to serve it. */
    interface Trouble {
        /** Returns the milliseconds by which the call is delayed; negative for never answered. */
        long delay(MiniServer.Exchange call);
    }

    private record Row(byte[] value, long version, boolean removed) {}

    private final Map<String, TreeMap<String, Row>> mTables = new TreeMap<>();
    private final Map<String, byte[]> mObjects = new TreeMap<>();
    private final MiniServer mServer;
    private final RunLog mRecord;
    private final long mStart = System.nanoTime();
    private long mVersion = 1;
    volatile Trouble trouble = call -> 0;

    Store(RunLog record) throws IOException {
        mRecord = record;
        mServer = new MiniServer(this::handle);
    }

    String address() {
        return mServer.address();
    }

    @Override
    public void close() {
        mServer.close();
    }

    /** Writes a row as an operator, a trainer or a worker does. */
    synchronized void write(String table, String key, Object value) {
        mVersion++;
        byte[] bytes =
                value instanceof byte[] raw
                        ? raw
                        : value.toString().getBytes(StandardCharsets.UTF_8);
        table(table).put(key, new Row(bytes, mVersion, false));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        mVersion++;
        table(table).put(key, new Row(new byte[0], mVersion, true));
        notifyAll();
    }

    private TreeMap<String, Row> table(String name) {
        return mTables.computeIfAbsent(name, key -> new TreeMap<>());
    }

    private void handle(MiniServer.Exchange call) throws Exception {
        long delay = trouble.delay(call);
        if (delay < 0) {
            call.pause(60_000);
            call.abort();
            return;
        }
        // An answer takes 4 ms.
        Thread.sleep(Math.max(4, delay));
        switch (call.path) {
            case "/api/rows-tx" -> change(call);
            case "/api/rows-get" -> range(call);
            case "/api/rows-feed" -> feed(call);
            case "/usage" -> {
                mRecord.line("usage " + call.header("Lease-Holder") + " fence "
                        + call.header("Fencing-Token") + " "
                        + new String(call.body, StandardCharsets.UTF_8));
                call.respond(200, Map.of(), new byte[0]);
            }
            default -> object(call);
        }
    }

    private void object(MiniServer.Exchange call) throws IOException {
        String name = call.path.substring(call.path.lastIndexOf('/') + 1);
        int status = 200;
        byte[] content = new byte[0];
        synchronized (this) {
            if (call.method.equals("PUT")) {
                if (call.body.length > MAX_OBJECT_BYTES) {
                    status = 413;
                } else if (mObjects.containsKey(name)) {
                    status = 412;
                } else {
                    mObjects.put(name, call.body);
                }
            } else if (call.method.equals("DELETE")) {
                mObjects.remove(name);
            } else if (mObjects.containsKey(name)) {
                content = mObjects.get(name);
            } else {
                status = 404;
            }
        }
        call.respond(status, Map.of(), content);
    }

    private void change(MiniServer.Exchange call) throws IOException {
        JsonNode body = MAPPER.readTree(call.body);
        ObjectNode answer = MAPPER.createObjectNode();
        int entries =
                body.path("expectedRev").size() + body.path("puts").size()
                        + body.path("remove").size();
        boolean tooLarge = entries > MAX_ENTRIES || call.body.length > MAX_CALL_BYTES;
        for (JsonNode put : body.path("puts")) {
            tooLarge |=
                    Base64.getDecoder().decode(put.path("value").asText()).length > MAX_ROW_BYTES;
        }
        if (tooLarge) {
            mRecord.line("store refused a change: " + entries + " entries, " + call.body.length
                    + " bytes");
            call.respond(400, Map.of(), new byte[0]);
            return;
        }
        int status = 200;
        synchronized (this) {
            boolean holds = true;
            ArrayNode current = MAPPER.createArrayNode();
            for (JsonNode condition : body.path("expectedRev")) {
                String table = condition.path("table").asText();
                String key = condition.path("key").asText();
                Row row = table(table).get(key);
                boolean present = row != null && !row.removed;
                holds &= (present ? row.version : 0) == condition.path("ver").asLong();
                if (present) {
                    current.add(encode(table, key, row));
                }
            }
            if (holds) {
                mVersion++;
                for (JsonNode put : body.path("puts")) {
                    table(put.path("table").asText())
                            .put(
                                    put.path("key").asText(),
                                    new Row(
                                            Base64.getDecoder().decode(put.path("value").asText()),
                                            mVersion,
                                            false));
                }
                for (JsonNode gone : body.path("remove")) {
                    table(gone.path("table").asText())
                            .put(gone.path("key").asText(), new Row(new byte[0], mVersion, true));
                }
                notifyAll();
            } else {
                status = 412;
                answer.set("rows", current);
            }
            answer.put("ver", mVersion).put("nowMs", nowMillis());
        }
        call.respond(status, json(), MAPPER.writeValueAsBytes(answer));
    }

    private static Map<String, String> json() {
        return Map.of("Content-Type", "application/json");
    }

    private static ObjectNode encode(String table, String key, Row row) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("table", table)
                        .put("part", "")
                        .put("key", key)
                        .put("value", Base64.getEncoder().encodeToString(row.value))
                        .put("ver", row.version);
        return row.removed ? node.put("deleted", true) : node;
    }

    private void range(MiniServer.Exchange call) throws IOException {
        String table = call.query.getOrDefault("table", "");
        String from = call.query.getOrDefault("from", "");
        String to = call.query.getOrDefault("to", "");
        int limit =
                Math.min(
                        MAX_PAGE_ROWS, Integer.parseInt(call.query.getOrDefault("limit", "500")));
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode rows = answer.putArray("rows");
        boolean more = false;
        synchronized (this) {
            int bytes = 0;
            for (Map.Entry<String, Row> row : table(table).tailMap(from).entrySet()) {
                boolean past = !to.isEmpty() && row.getKey().compareTo(to) >= 0;
                if (row.getValue().removed || past) {
                    continue;
                }
                bytes += row.getValue().value.length * 4 / 3;
                if (rows.size() >= limit || rows.size() > 0 && bytes > MAX_PAGE_BYTES) {
                    more = true;
                    break;
                }
                rows.add(encode(table, row.getKey(), row.getValue()));
            }
            answer.put("hasMore", more).put("ver", mVersion).put("nowMs", nowMillis());
        }
        call.respond(200, json(), MAPPER.writeValueAsBytes(answer));
    }

    private void feed(MiniServer.Exchange call) throws Exception {
        String table = call.query.getOrDefault("table", "");
        long after = Long.parseLong(call.query.getOrDefault("after", "0"));
        long wait = Math.min(30_000, Long.parseLong(call.query.getOrDefault("waitMs", "0")));
        long end = System.nanoTime() + wait * 1_000_000;
        ObjectNode answer = MAPPER.createObjectNode();
        synchronized (this) {
            List<Map.Entry<String, Row>> changed = changed(table, after);
            long left = (end - System.nanoTime()) / 1_000_000;
            while (changed.isEmpty() && left > 0) {
                wait(left);
                changed = changed(table, after);
                left = (end - System.nanoTime()) / 1_000_000;
            }
            ArrayNode rows = answer.putArray("rows");
            changed.forEach(row -> rows.add(encode(table, row.getKey(), row.getValue())));
            answer.put("ver", mVersion).put("nowMs", nowMillis());
        }
        call.respond(200, json(), MAPPER.writeValueAsBytes(answer));
    }

    private List<Map.Entry<String, Row>> changed(String table, long after) {
        List<Map.Entry<String, Row>> rows = new ArrayList<>();
        for (Map.Entry<String, Row> row : table(table).entrySet()) {
            if (row.getValue().version > after) {
                rows.add(row);
            }
        }
        rows.sort(Comparator.comparingLong(row -> row.getValue().version));
        return rows;
    }

    private long nowMillis() {
        return (System.nanoTime() - mStart) / 1_000_000 + 50_000;
    }
}
