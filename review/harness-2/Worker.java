import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A worker: a model engine if it has models, otherwise a plain service. */
final class Worker implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final AtomicLong LAST_STAMP = new AtomicLong();

    /** The text of an item: events, the pause before each, and the data of each. */
    record Text(int events, long pauseMillis, String data) {}

    /** Chooses the text of an item by its ID. */
    interface Texts {
        Text of(String id);
    }

    /** One run of a request: what was made of it, and whether it was made whole. */
    static final class Run {
        final String id;
        final String after;
        final long atMillis;
        final String stamp;
        final StringBuilder text = new StringBuilder();
        volatile boolean whole;

        Run(String id, String after, long atMillis, String stamp) {
            this.id = id;
            this.after = after;
            this.atMillis = atMillis;
            this.stamp = stamp;
        }
    }

    final String id;
    private final String service;
    private final int slots;
    private final Texts texts;
    private final Record record;
    private final Store store;
    private final Map<String, Long> versions = new TreeMap<>();
    private final List<Run> runs = new ArrayList<>();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private final boolean quiet;
    private long orders;
    private long highestFence;
    private long heartbeat;

    Worker(
            String id,
            String service,
            int slots,
            Map<String, Long> models,
            Texts texts,
            Record record,
            Store store,
            boolean quiet)
            throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.texts = texts;
        this.record = record;
        this.store = store;
        this.quiet = quiet;
        versions.putAll(models);
        free = new Semaphore(slots, true);
        server =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.submit(this::report);
    }

    /** Writes the row of this worker each 1.2 s. */
    private void report() {
        try {
            while (true) {
                store.write("servers", id, row("ready"));
                Thread.sleep(1_200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String row(String state) {
        ObjectNode row =
                MAPPER.createObjectNode()
                        .put("service", service)
                        .put("address", "127.0.0.1:" + server.getAddress().getPort())
                        .put("zone", "z1")
                        .put("version", "1")
                        .put("slots", slots)
                        .put("state", state)
                        .put("coldLeftMs", 0)
                        .put("seq", ++heartbeat)
                        .put("born", born);
        row.set("models", models());
        return row.toString();
    }

    private ArrayNode models() {
        ArrayNode models = MAPPER.createArrayNode();
        versions.forEach(
                (name, version) ->
                        models.addObject()
                                .put("name", name)
                                .put("version", version)
                                .putArray("adapters"));
        return models;
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Headers headers = exchange.getRequestHeaders();
            String expected = headers.getFirst("Expect-Instance");
            String request = headers.getFirst("Request-Id");
            if (expected != null && !expected.equals(id)) {
                exchange.getResponseHeaders().set("Instance-Id", id);
                exchange.sendResponseHeaders(421, -1);
            } else if (exchange.getRequestURI().getPath().equals("/api/report")) {
                send(exchange, 200, state());
            } else if (exchange.getRequestURI().getPath().equals("/api/order")) {
                send(exchange, order(MAPPER.readTree(body)), MAPPER.createObjectNode());
            } else if (request == null) {
                exchange.getResponseHeaders().set("Not-Executed", "1");
                exchange.sendResponseHeaders(400, -1);
            } else {
                admit(exchange, request);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void admit(HttpExchange exchange, String request)
            throws IOException, InterruptedException {
        exchange.getResponseHeaders().set("Request-Id", request);
        if (waiting.incrementAndGet() > 24) {
            waiting.decrementAndGet();
            exchange.getResponseHeaders().set("Not-Executed", "1");
            exchange.sendResponseHeaders(503, -1);
            return;
        }
        free.acquire();
        waiting.decrementAndGet();
        try {
            run(exchange, request);
        } finally {
            free.release();
        }
    }

    private void run(HttpExchange exchange, String request)
            throws IOException, InterruptedException {
        String after = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        String model = exchange.getRequestHeaders().getFirst("Model");
        String stamp = "stamp-" + LAST_STAMP.incrementAndGet();
        Run run = new Run(request, after == null ? "" : after, record.millis(), stamp);
        synchronized (this) {
            runs.add(run);
        }
        if (!quiet) {
            record.line(
                    "%s runs %s %s%s",
                    id,
                    exchange.getRequestURI().getPath(),
                    request,
                    after == null ? "" : " after event " + after);
        }
        exchange.getResponseHeaders().set("Response-Stamp", stamp);
        if (model == null) {
            Thread.sleep(5);
            byte[] body = ("body of " + request).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            run.whole = true;
            return;
        }
        long version;
        synchronized (this) {
            version = versions.getOrDefault(model, 0L);
        }
        Text text = texts.of(request);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.getResponseHeaders().set("Weight-Versions", Long.toString(version));
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        int first = after == null ? 0 : Integer.parseInt(after) + 1;
        for (int event = first; event < text.events(); event++) {
            Thread.sleep(text.pauseMillis());
            long now;
            synchronized (this) {
                now = versions.getOrDefault(model, 0L);
            }
            String changed = now == version ? "" : "weight-versions: " + now + "\n";
            version = now;
            String data = event + " " + text.data();
            out.write(
                    (changed + "id: " + event + "\ndata: " + data + "\n\n")
                            .getBytes(StandardCharsets.UTF_8));
            out.flush();
            run.text.append(run.text.length() == 0 ? "" : "\n").append(data);
        }
        run.whole = true;
        out.close();
        if (!quiet) {
            record.line("%s has finished %s", id, request);
        }
    }

    private synchronized ObjectNode state() {
        ObjectNode state =
                MAPPER.createObjectNode()
                        .put("phase", "mixed")
                        .put("busy", false)
                        .put("seq", orders)
                        .put("queued", waiting.get())
                        .put("active", slots - free.availablePermits());
        state.set("models", models());
        return state;
    }

    private synchronized int order(JsonNode order) {
        long fence = order.path("fencingToken").asLong();
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        if (order.has("expectedRev") && order.path("expectedRev").asLong() != orders) {
            return 409;
        }
        String model = order.path("model").asText();
        if (versions.getOrDefault(model, 0L) == order.path("version").asLong()) {
            return 200;
        }
        orders++;
        versions.put(model, order.path("version").asLong());
        return 202;
    }

    private static void send(HttpExchange exchange, int status, ObjectNode body)
            throws IOException {
        byte[] bytes = MAPPER.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
