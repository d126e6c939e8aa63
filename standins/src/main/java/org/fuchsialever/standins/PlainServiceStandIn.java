package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;

/** A plain service that echoes the body and counts how often each request was executed. */
public final class PlainServiceStandIn extends StandInServer {
    private static final int BUSY = 503;

    private final Duration mExecutionTime;
    private final Map<String, AtomicInteger> mExecutionsById = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mExecutionsByPath = new ConcurrentHashMap<>();
    private final List<Map<String, String>> mHeaders = new CopyOnWriteArrayList<>();
    private final AtomicInteger mRefusalsLeft = new AtomicInteger();

    /**
     * Starts a service.
     *
     * @param executionTime how long the execution of a request takes
     */
    public PlainServiceStandIn(Duration executionTime) {
        mExecutionTime = executionTime;
        on(
                "runs",
                "GET",
                "/stand-in/runs",
                request -> Mono.just(StandInResponse.json(200, counts())));
        for (String method : List.of("GET", "POST", "PUT", "PATCH", "DELETE")) {
            on("run", method, "/.*", this::run);
        }
        open();
    }

    /** Refuses the next {@code count} requests with status 503 and {@code X-Not-Run: true}. */
    public void refuseNext(int count) {
        mRefusalsLeft.set(count);
    }

    /** Returns how often the request with this {@code X-Request-Id} was executed. */
    public int executionCount(String requestId) {
        return count(mExecutionsById, requestId);
    }

    /** Returns how often requests for a path were executed. */
    public int executionCountForPath(String path) {
        return count(mExecutionsByPath, path);
    }

    /** Returns the numbers of executions by {@code X-Request-Id}. */
    public Map<String, Integer> executionCounts() {
        Map<String, Integer> runs = new TreeMap<>();
        mExecutionsById.forEach((id, count) -> runs.put(id, count.get()));
        return runs;
    }

    /** Returns the header fields of all requests, with names in lower case. */
    public List<Map<String, String>> receivedHeaders() {
        return List.copyOf(mHeaders);
    }

    private Mono<StandInResponse> run(StandInRequest request) {
        Map<String, String> fields = new TreeMap<>();
        request.headers().forEach(field -> fields.put(lower(field.getKey()), field.getValue()));
        mHeaders.add(fields);
        if (mRefusalsLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            return Mono.just(StandInResponse.error(BUSY, "busy").with("X-Not-Run", "true"));
        }
        increment(mExecutionsById, request.header("X-Request-Id"));
        increment(mExecutionsByPath, request.path());
        String type = request.headers().get("Content-Type", "application/octet-stream");
        StandInResponse response = StandInResponse.bytes(200, type, request.body());
        return mExecutionTime.isZero()
                ? Mono.just(response)
                : Mono.delay(mExecutionTime).thenReturn(response);
    }

    private ObjectNode counts() {
        ObjectNode body = Json.object();
        ObjectNode runs = body.putObject("runs");
        executionCounts().forEach(runs::put);
        ObjectNode paths = body.putObject("paths");
        mExecutionsByPath.forEach((path, count) -> paths.put(path, count.get()));
        return body;
    }

    private static String lower(String text) {
        return text.toLowerCase(java.util.Locale.ROOT);
    }

    private static void increment(Map<String, AtomicInteger> counts, String key) {
        counts.computeIfAbsent(key, name -> new AtomicInteger()).incrementAndGet();
    }

    private static int count(Map<String, AtomicInteger> counts, String key) {
        AtomicInteger count = counts.get(key);
        return count == null ? 0 : count.get();
    }
}
