import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store and its interface for usage reports, in memory, with the stated limits. */
final class Store implements AutoCloseable {
    static final int MAX_ENTRIES = 100;
    static final int MAX_CALL_BYTES = 1_000_000;
    static final int MAX_ROW_BYTES = 65_536;
    static final int MAX_PAGE_ROWS = 500;
    static final int MAX_BLOB_BYTES = 8_388_608;

    /** How the store treats the calls of one machine. */
    enum Mode {
        UP,
        /** Status 503; nothing is done. */
        BUSY
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final Map<String, byte[]> blobs = new TreeMap<>();
    private final Map<String, Mode> modes = new ConcurrentHashMap<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Record record;
    private long version = 1;

    Store(Record record) {
        this.record = record;
    }

    /** Opens a port for the calls of one machine and returns it. */
    int open(String machine) throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", exchange -> handle(machine, exchange));
        server.start();
        synchronized (this) {
            servers.add(server);
        }
        modes.put(machine, Mode.UP);
        return server.getAddress().getPort();
    }

    void setMode(String machine, Mode mode) {
        modes.put(machine, mode);
    }

    /** Writes a row as an operator, a trainer or a worker does. */
    synchronized void write(String table, String key, String value) {
        version++;
        table(table).put(key, new Row(value.getBytes(StandardCharsets.UTF_8), version, false));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        table(table).put(key, new Row(new byte[0], version, true));
        notifyAll();
    }

    synchronized String read(String table, String key) {
        Row row = table(table).get(key);
        return row == null || row.removed ? null : new String(row.value, StandardCharsets.UTF_8);
    }

    synchronized List<String> values(String table) {
        List<String> found = new ArrayList<>();
        table(table).values().stream()
                .filter(row -> !row.removed)
                .forEach(row -> found.add(new String(row.value, StandardCharsets.UTF_8)));
        return found;
    }

    private void handle(String machine, HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        try {
            if (modes.get(machine) == Mode.BUSY) {
                send(exchange, 503, new byte[0]);
                return;
            }
            Thread.sleep(3);
            respond(machine, exchange, body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void respond(String machine, HttpExchange exchange, byte[] body)
            throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = Record.query(exchange.getRequestURI().getRawQuery());
        String method = exchange.getRequestMethod();
        if (path.equals("/api/rows-tx")) {
            change(machine, exchange, body);
        } else if (path.equals("/api/rows-get")) {
            range(exchange, query);
        } else if (path.equals("/api/rows-feed")) {
            feed(machine, exchange, query);
        } else if (path.startsWith("/api/blob-put/")) {
            put(exchange, path.substring("/api/blob-put/".length()), body);
        } else if (path.startsWith("/api/blob-get/")) {
            byte[] content;
            synchronized (this) {
                content = blobs.get(path.substring("/api/blob-get/".length()));
            }
            send(exchange, content == null ? 404 : 200, content == null ? new byte[0] : content);
        } else if (path.startsWith("/api/blob-drop/") && method.equals("DELETE")) {
            synchronized (this) {
                blobs.remove(path.substring("/api/blob-drop/".length()));
            }
            send(exchange, 200, new byte[0]);
        } else if (path.equals("/usage")) {
            send(exchange, 200, new byte[0]);
        } else {
            send(exchange, 400, new byte[0]);
        }
    }

    private void put(HttpExchange exchange, String name, byte[] body)
            throws IOException, InterruptedException {
        Thread.sleep(25);
        if (body.length > MAX_BLOB_BYTES) {
            send(exchange, 413, new byte[0]);
            return;
        }
        boolean absent;
        synchronized (this) {
            absent = blobs.putIfAbsent(name, body) == null;
        }
        send(exchange, absent ? 200 : 412, new byte[0]);
    }

    private void change(String machine, HttpExchange exchange, byte[] body) throws IOException {
        JsonNode call = MAPPER.readTree(body);
        int entries =
                call.path("expectedRev").size()
                        + call.path("puts").size()
                        + call.path("remove").size();
        boolean tooLarge = entries > MAX_ENTRIES || body.length > MAX_CALL_BYTES;
        for (JsonNode put : call.path("puts")) {
            tooLarge |= decode(put).length > MAX_ROW_BYTES;
        }
        if (tooLarge) {
            record.line(
                    "store refuses a call of %s: %d entries, %d bytes",
                    machine, entries, body.length);
            send(exchange, 400, new byte[0]);
            return;
        }
        ObjectNode response = MAPPER.createObjectNode();
        int status;
        synchronized (this) {
            boolean holds = true;
            ArrayNode current = MAPPER.createArrayNode();
            for (JsonNode condition : call.path("expectedRev")) {
                String table = condition.path("table").asText();
                String key = condition.path("key").asText();
                Row row = table(table).get(key);
                long present = row == null || row.removed ? 0 : row.version;
                holds &= present == condition.path("ver").asLong();
                if (present > 0) {
                    current.add(row.encode(table, key));
                }
            }
            if (holds) {
                version++;
                for (JsonNode put : call.path("puts")) {
                    table(put.path("table").asText())
                            .put(put.path("key").asText(), new Row(decode(put), version, false));
                }
                for (JsonNode removal : call.path("remove")) {
                    table(removal.path("table").asText())
                            .put(
                                    removal.path("key").asText(),
                                    new Row(new byte[0], version, true));
                }
                notifyAll();
            } else {
                response.set("rows", current);
            }
            status = holds ? 200 : 412;
            response.put("ver", version).put("nowMs", now());
        }
        send(exchange, status, MAPPER.writeValueAsBytes(response));
    }

    private void range(HttpExchange exchange, Map<String, String> query) throws IOException {
        String table = query.getOrDefault("table", "");
        String to = query.getOrDefault("to", "");
        int limit =
                Math.min(
                        MAX_PAGE_ROWS,
                        Integer.parseInt(query.getOrDefault("limit", "" + MAX_PAGE_ROWS)));
        ObjectNode response = MAPPER.createObjectNode();
        ArrayNode rows = response.putArray("rows");
        synchronized (this) {
            long bytes = 0;
            boolean more = false;
            for (Map.Entry<String, Row> row :
                    table(table).tailMap(query.getOrDefault("from", "")).entrySet()) {
                if (row.getValue().removed
                        || !to.isEmpty() && row.getKey().compareTo(to) >= 0) {
                    continue;
                }
                bytes += row.getValue().value.length * 4L / 3 + 100;
                if (rows.size() >= limit || bytes > MAX_CALL_BYTES && rows.size() > 0) {
                    more = true;
                    break;
                }
                rows.add(row.getValue().encode(table, row.getKey()));
            }
            response.put("hasMore", more).put("ver", version).put("nowMs", now());
        }
        send(exchange, 200, MAPPER.writeValueAsBytes(response));
    }

    private void feed(String machine, HttpExchange exchange, Map<String, String> query)
            throws IOException, InterruptedException {
        String table = query.getOrDefault("table", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long end = now() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
        ObjectNode response = MAPPER.createObjectNode();
        ArrayNode rows = response.putArray("rows");
        synchronized (this) {
            List<Map.Entry<String, Row>> changed = changed(table, after);
            while (changed.isEmpty() && now() < end && modes.get(machine) == Mode.UP) {
                wait(Math.max(1, Math.min(50, end - now())));
                changed = changed(table, after);
            }
            changed.sort(Comparator.comparingLong(row -> row.getValue().version));
            changed.forEach(row -> rows.add(row.getValue().encode(table, row.getKey())));
            response.put("ver", version).put("nowMs", now());
        }
        if (modes.get(machine) == Mode.BUSY) {
            send(exchange, 503, new byte[0]);
            return;
        }
        send(exchange, 200, MAPPER.writeValueAsBytes(response));
    }

    private List<Map.Entry<String, Row>> changed(String table, long after) {
        List<Map.Entry<String, Row>> changed = new ArrayList<>();
        for (Map.Entry<String, Row> row : table(table).entrySet()) {
            if (row.getValue().version > after) {
                changed.add(Map.entry(row.getKey(), row.getValue()));
            }
        }
        return changed;
    }

    private static byte[] decode(JsonNode put) {
        return Base64.getDecoder().decode(put.path("value").asText());
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private TreeMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, key -> new TreeMap<>());
    }

    private static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    @Override
    public synchronized void close() {
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
    }

    private record Row(byte[] value, long version, boolean removed) {
        ObjectNode encode(String table, String key) {
            ObjectNode node =
                    MAPPER.createObjectNode()
                            .put("table", table)
                            .put("part", "")
                            .put("key", key)
                            .put("value", Base64.getEncoder().encodeToString(value))
                            .put("ver", version);
            return removed ? node.put("deleted", true) : node;
        }
    }
}
