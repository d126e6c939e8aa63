package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.util.retry.Retry;

/**
 * A trainer: submits steps, collects their samples with long polls, acknowledges them, and trains
 * for a fixed time on each complete step, which produces a new weight version.
 */
public final class TrainerStandIn implements AutoCloseable {
    private static final int ACCEPTED = 202;
    private static final int OK = 200;

    private final TrainerOptions options;
    private final Supplier<String> baseUrl;
    private final LongConsumer onVersion;
    private final TrainerRecord record;
    private final ConnectionProvider connections = ConnectionProvider.create("trainer", 4);
    private final HttpClient client = HttpClient.create(connections);
    private final Map<String, AtomicLong> responseCounts = new ConcurrentHashMap<>();
    private final Disposable.Composite running = Disposables.composite();
    private volatile long cursor;
    private volatile long trainingEndNanos;
    private volatile long idleNanos;
    private volatile long trainingNanos;

    /**
     * Creates a trainer that does nothing yet.
     *
     * @param options the options
     * @param baseUrl returns the address of an instance for each request
     * @param onVersion is called with each new weight version
     */
    public TrainerStandIn(
            TrainerOptions options, Supplier<String> baseUrl, LongConsumer onVersion) {
        this.options = options;
        this.baseUrl = baseUrl;
        this.onVersion = onVersion;
        this.record = new TrainerRecord(options.maxStaleness);
    }

    /** Returns the record of received samples. */
    public TrainerRecord record() {
        return record;
    }

    /** Returns the highest cursor that was acknowledged or is being acknowledged. */
    public long cursor() {
        return cursor;
    }

    /**
     * Returns the numbers of responses and failures by request and status, such as {@code submit
     * 202}.
     */
    public Map<String, Long> responseCounts() {
        Map<String, Long> counts = new TreeMap<>();
        responseCounts.forEach((name, count) -> counts.put(name, count.get()));
        return counts;
    }

    /** Returns how long the trainer was idle because it waited for samples. */
    public Duration idleTime() {
        return Duration.ofNanos(idleNanos);
    }

    /** Returns the idle share of the total time, from 0 to 1. */
    public double idleShare() {
        long total = idleNanos + trainingNanos;
        return total == 0 ? 0 : (double) idleNanos / total;
    }

    /**
     * Runs steps until training on all of them is complete. Failed requests are retried until they
     * succeed.
     *
     * @param firstStep the number of the first step
     * @param steps how many steps to run
     * @return completes after the last step
     */
    public Mono<Void> run(long firstStep, int steps) {
        return Mono.defer(
                () -> {
                    trainingEndNanos = System.nanoTime();
                    long last = firstStep + steps - 1;
                    Mono<Void> flow = Mono.empty();
                    for (long step = firstStep; step <= last; step++) {
                        long current = step;
                        flow = flow.then(Mono.defer(() -> runStep(current, firstStep, last)));
                    }
                    return flow;
                });
    }

    /** Runs steps in the background until the trainer is closed. */
    public void start(long firstStep, int steps) {
        running.add(run(firstStep, steps).subscribe());
    }

    /** Submits one step; completes when it is accepted. */
    public Mono<Void> submit(long step) {
        return send("submit", HttpMethod.POST, "/v1/rollouts", submission(step), ACCEPTED).then();
    }

    /** Collects one page of samples and acknowledges it. */
    public Mono<Void> collect() {
        String uri =
                "/v1/rollouts/%s/samples?cursor=%d&wait_ms=%d"
                        .formatted(options.trainer, cursor, options.longPoll.toMillis());
        return send("collect", HttpMethod.GET, uri, Json.object(), OK).flatMap(this::receive);
    }

    @Override
    public void close() {
        running.dispose();
        connections.dispose();
    }

    private Mono<Void> runStep(long step, long first, long last) {
        Mono<Void> submissions = Mono.empty();
        long from = step == first ? first : step + options.stepsAhead;
        for (long next = from; next <= Math.min(last, step + options.stepsAhead); next++) {
            long submitted = next;
            submissions = submissions.then(Mono.defer(() -> submit(submitted)));
        }
        return submissions
                .then(Mono.defer(() -> collectStep(step)))
                .then(Mono.defer(() -> train(step)));
    }

    private Mono<Void> collectStep(long step) {
        int expected = options.groups * options.samples;
        return Mono.defer(() -> record.samplesOf(step) < expected ? collect() : Mono.<Void>empty())
                .repeat(() -> record.samplesOf(step) < expected)
                .then();
    }

    private Mono<Void> train(long step) {
        long now = System.nanoTime();
        idleNanos += Math.max(0, now - trainingEndNanos);
        trainingNanos += options.trainingTime.toNanos();
        trainingEndNanos = now + options.trainingTime.toNanos();
        return Mono.delay(options.trainingTime)
                .doOnNext(
                        done -> {
                            long version = record.newestVersion() + 1;
                            record.newestVersion(version);
                            onVersion.accept(version);
                        })
                .then();
    }

    private Mono<Void> receive(JsonNode page) {
        page.path("samples").forEach(record::receive);
        long next = page.path("cursor").asLong(cursor);
        if (next == cursor) {
            return Mono.empty();
        }
        cursor = next;
        ObjectNode body = Json.object().put("cursor", next);
        String uri = "/v1/rollouts/" + options.trainer + "/ack";
        return send("acknowledge", HttpMethod.POST, uri, body, OK).then();
    }

    private ObjectNode submission(long step) {
        ObjectNode body = Json.object();
        body.put("trainer", options.trainer).put("step", step).put("model", options.model);
        body.put("max_staleness", options.maxStaleness);
        body.put("deadline_ms", options.deadline.toMillis());
        ArrayNode groups = body.putArray("groups");
        for (int group = 0; group < options.groups; group++) {
            String prompt = "@%s-%d-%d continue".formatted(options.trainer, step, group);
            groups.addObject()
                    .put("group", "g" + group)
                    .put("prompt", prompt)
                    .put("samples", options.samples)
                    .put("max_tokens", options.maxTokens);
        }
        return body;
    }

    private Mono<JsonNode> send(
            String name, HttpMethod method, String uri, ObjectNode body, int expected) {
        byte[] content =
                body.isEmpty() ? new byte[0] : body.toString().getBytes(StandardCharsets.UTF_8);
        return Mono.defer(() -> exchange(name, method, uri, content, expected))
                .doOnError(
                        failure -> !(failure instanceof UnexpectedStatusException),
                        failure -> count(name + " failed"))
                .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, options.retryDelay));
    }

    private Mono<JsonNode> exchange(
            String name, HttpMethod method, String uri, byte[] content, int expected) {
        return client.headers(
                        headers -> {
                            headers.set("Content-Type", "application/json");
                            headers.set("Content-Length", content.length);
                            if (!options.key.isEmpty()) {
                                headers.set("Authorization", "Bearer " + options.key);
                            }
                        })
                .request(method)
                .uri(baseUrl.get() + uri)
                .send(ByteBufFlux.fromInbound(Mono.just(content)))
                .responseSingle(
                        (response, body) -> {
                            int status = response.status().code();
                            count(name + " " + status);
                            return body.asByteArray()
                                    .defaultIfEmpty(new byte[0])
                                    .flatMap(bytes -> check(status, expected, bytes));
                        });
    }

    private static Mono<JsonNode> check(int status, int expected, byte[] bytes) {
        return status == expected
                ? Mono.just(Json.parse(bytes))
                : Mono.error(new UnexpectedStatusException(status));
    }

    private void count(String name) {
        responseCounts.computeIfAbsent(name, key -> new AtomicLong()).incrementAndGet();
    }

    private static final class UnexpectedStatusException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private UnexpectedStatusException(int status) {
            super("unexpected status " + status);
        }
    }
}
