package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** A worker as PROTOCOL.md describes it; what it answers to requests is up to the case. */
final class Worker implements AutoCloseable {
    /** Answers a request that this worker runs. */
    interface Work {
        void run(Worker worker, MiniServer.Exchange request) throws Exception;
    }

    final String id;
    private final String mService;
    private final Store mStore;
    private final RunLog mRecord;
    private final Work mWork;
    private final Map<String, Long> mVersions = new TreeMap<>();
    private final MiniServer mServer;
    private final long mBorn = System.currentTimeMillis();
    private final AtomicInteger mActive = new AtomicInteger();
    private final Thread mBeat;
    private int mOrders;
    private int mBeats;
    private volatile boolean mDown;

    Worker(Store store, RunLog record, String id, String service, Map<String, Long> versions,
            Work work) throws IOException {
        this.id = id;
        mStore = store;
        mRecord = record;
        mService = service;
        mVersions.putAll(versions);
        mWork = work;
        mServer = new MiniServer(this::handle);
        register();
        mBeat = new Thread(this::beat, "beat");
        mBeat.setDaemon(true);
        mBeat.start();
    }

    /** Ends like a crash: connections are reset, nothing is sent to the store any more. */
    @Override
    public void close() {
        mDown = true;
        mServer.close();
    }

    private void beat() {
        try {
            while (!mDown) {
                Thread.sleep(1_200);
                if (!mDown) {
                    register();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void register() {
        ObjectNode entry =
                Store.MAPPER
                        .createObjectNode()
                        .put("service", mService)
                        .put("address", mServer.address())
                        .put("zone", "z")
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("coldLeftMs", 0)
                        .put("born", mBorn)
                        .put("seq", ++mBeats);
        var models = entry.putArray("models");
        mVersions.forEach((name, version) -> models.addObject().put("name", name)
                .put("version", version).putArray("adapters"));
        mStore.write("servers", id, entry);
    }

    synchronized long version(String model) {
        return mVersions.getOrDefault(model, 0L);
    }

    private void handle(MiniServer.Exchange call) throws Exception {
        if (call.path.equals("/api/report")) {
            report(call);
            return;
        }
        if (call.path.equals("/api/order")) {
            order(call);
            return;
        }
        String expected = call.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            call.respond(421, Map.of("Instance-Id", id), new byte[0]);
            return;
        }
        mRecord.line(id + " runs " + call.method + " " + call.uri + " id "
                + call.header("Request-Id")
                + (call.header("Last-Event-Id").isEmpty()
                        ? ""
                        : " from event " + call.header("Last-Event-Id")));
        mActive.incrementAndGet();
        try {
            mWork.run(this, call);
        } finally {
            mActive.decrementAndGet();
        }
    }

    private void report(MiniServer.Exchange call) throws IOException {
        ObjectNode report = Store.MAPPER.createObjectNode().put("phase", "mixed");
        synchronized (this) {
            var models = report.putArray("models");
            mVersions.forEach((name, version) -> models.addObject().put("name", name)
                    .put("version", version).putArray("adapters"));
            report.put("busy", false).put("seq", mOrders).put("queued", 0)
                    .put("active", mActive.get()).put("kvUsed", 0).put("kvTotal", 90_000)
                    .put("handles", 0).put("born", mBorn);
        }
        call.respond(200, Map.of("Content-Type", "application/json"),
                Store.MAPPER.writeValueAsBytes(report));
    }

    private void order(MiniServer.Exchange call) throws IOException {
        var order = Store.MAPPER.readTree(call.body);
        synchronized (this) {
            mOrders++;
            mVersions.put(order.path("model").asText(), order.path("version").asLong());
        }
        register();
        call.respond(202, Map.of(), new byte[0]);
    }

    /** The fields of each answer of this worker to a request. */
    Map<String, String> fields(MiniServer.Exchange request, String model) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Request-Id", request.header("Request-Id"));
        fields.put("Response-Stamp", id + "." + request.header("Request-Id"));
        fields.put("Keep-Alive", "timeout=30");
        if (!model.isEmpty()) {
            fields.put("Weight-Versions", Long.toString(version(model)));
        }
        return fields;
    }

    void answer(MiniServer.Exchange request, int status, String body) throws IOException {
        mRecord.line(id + " answers " + status + " to " + request.header("Request-Id"));
        request.respond(status, fields(request, ""), body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends the events after Last-Event-Id, some of them in each write; stops when the channel is
     * closed.
     */
    void stream(MiniServer.Exchange request, String model, int events, int flushEvents,
            long flushMillis, IntFunction<String> data) throws IOException {
        String after = request.header("Last-Event-Id");
        int next = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        long version = version(model);
        Map<String, String> fields = fields(request, model);
        fields.put("Content-Type", "text/event-stream");
        request.startChunks(200, fields);
        while (next <= events) {
            if (!request.pause(flushMillis)) {
                mRecord.line(id + " drops " + request.header("Request-Id") + " before event "
                        + next + ": its channel was closed");
                return;
            }
            StringBuilder flushed = new StringBuilder();
            for (int i = 0; i < flushEvents && next <= events; i++) {
                long now = version(model);
                flushed.append(now == version ? "" : "weight-versions: " + now + "\n");
                version = now;
                flushed.append("id: " + next + "\ndata: " + data.apply(next) + "\n\n");
                next++;
            }
            request.chunk(flushed.toString().getBytes(StandardCharsets.UTF_8));
        }
        request.endChunks();
        mRecord.line(id + " ends the stream of " + request.header("Request-Id"));
    }
}
