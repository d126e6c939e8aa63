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

    private final TrainerOptions mOptions;
    private final Supplier<String> mBaseUrl;
    private final LongConsumer mOnVersion;
    private final TrainerRecord mRecord;
    private final ConnectionProvider mConnections = ConnectionProvider.create("trainer", 4);
    private final HttpClient mClient = HttpClient.create(mConnections);
    private final Map<String, AtomicLong> mResponseCounts = new ConcurrentHashMap<>();
    private final Disposable.Composite mRunning = Disposables.composite();
    private volatile long mCursor;
    private volatile long mTrainingEndNanos;
    private volatile long mIdleNanos;
    private volatile long mTrainingNanos;

    /**
     * Creates a trainer that does nothing yet.
     *
     * @param options the options
     * @param baseUrl returns the address of an instance for each request
     * @param onVersion is called with each new weight version
     */
    public TrainerStandIn(
            TrainerOptions options, Supplier<String> baseUrl, LongConsumer onVersion) {
        mOptions = options;
        mBaseUrl = baseUrl;
        mOnVersion = onVersion;
        mRecord = new TrainerRecord(options.mMaxStaleness);
    }

    /** Returns the record of received samples. */
    public TrainerRecord record() {
        return mRecord;
    }

    /** Returns the highest cursor that was acknowledged or is being acknowledged. */
    public long cursor() {
        return mCursor;
    }

    /**
     * Returns the numbers of responses and failures by request and status, such as {@code submit
     * 202}.
     */
    public Map<String, Long> responseCounts() {
        Map<String, Long> counts = new TreeMap<>();
        mResponseCounts.forEach((name, count) -> counts.put(name, count.get()));
        return counts;
    }

    /** Returns how long the trainer was idle because it waited for samples. */
    public Duration idleTime() {
        return Duration.ofNanos(mIdleNanos);
    }

    /** Returns the idle share of the total time, from 0 to 1. */
    public double idleShare() {
        long total = mIdleNanos + mTrainingNanos;
        return total == 0 ? 0 : (double) mIdleNanos / total;
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
                    mTrainingEndNanos = System.nanoTime();
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
        mRunning.add(run(firstStep, steps).subscribe());
    }

    /** Submits one step; completes when it is accepted. */
    public Mono<Void> submit(long step) {
        return send("submit", HttpMethod.POST, "/v1/rollouts", submission(step), ACCEPTED).then();
    }

    /** Collects one page of samples and acknowledges it. */
    public Mono<Void> collect() {
        String uri =
                "/v1/rollouts/%s/samples?cursor=%d&wait_ms=%d"
                        .formatted(mOptions.mTrainer, mCursor, mOptions.mLongPoll.toMillis());
        return send("collect", HttpMethod.GET, uri, Json.object(), OK).flatMap(this::receive);
    }

    @Override
    public void close() {
        mRunning.dispose();
        mConnections.dispose();
    }

    private Mono<Void> runStep(long step, long first, long last) {
        Mono<Void> submissions = Mono.empty();
        long from = step == first ? first : step + mOptions.mStepsAhead;
        for (long next = from; next <= Math.min(last, step + mOptions.mStepsAhead); next++) {
            long submitted = next;
            submissions = submissions.then(Mono.defer(() -> submit(submitted)));
        }
        return submissions
                .then(Mono.defer(() -> collectStep(step)))
                .then(Mono.defer(() -> train(step)));
    }

    private Mono<Void> collectStep(long step) {
        int expected = mOptions.mGroups * mOptions.mSamples;
        return Mono.defer(() -> mRecord.samplesOf(step) < expected ? collect() : Mono.<Void>empty())
                .repeat(() -> mRecord.samplesOf(step) < expected)
                .then();
    }

    private Mono<Void> train(long step) {
        long now = System.nanoTime();
        mIdleNanos += Math.max(0, now - mTrainingEndNanos);
        mTrainingNanos += mOptions.mTrainingTime.toNanos();
        mTrainingEndNanos = now + mOptions.mTrainingTime.toNanos();
        return Mono.delay(mOptions.mTrainingTime)
                .doOnNext(
                        done -> {
                            long version = mRecord.newestVersion() + 1;
                            mRecord.newestVersion(version);
                            mOnVersion.accept(version);
                        })
                .then();
    }

    private Mono<Void> receive(JsonNode page) {
        page.path("samples").forEach(mRecord::receive);
        long next = page.path("cursor").asLong(mCursor);
        if (next == mCursor) {
            return Mono.empty();
        }
        mCursor = next;
        ObjectNode body = Json.object().put("cursor", next);
        String uri = "/v1/rollouts/" + mOptions.mTrainer + "/ack";
        return send("acknowledge", HttpMethod.POST, uri, body, OK).then();
    }

    private ObjectNode submission(long step) {
        ObjectNode body = Json.object();
        body.put("trainer", mOptions.mTrainer).put("step", step).put("model", mOptions.mModel);
        body.put("max_staleness", mOptions.mMaxStaleness);
        body.put("deadline_ms", mOptions.mDeadline.toMillis());
        ArrayNode groups = body.putArray("groups");
        for (int group = 0; group < mOptions.mGroups; group++) {
            String prompt = "@%s-%d-%d continue".formatted(mOptions.mTrainer, step, group);
            groups.addObject()
                    .put("group", "g" + group)
                    .put("prompt", prompt)
                    .put("samples", mOptions.mSamples)
                    .put("max_tokens", mOptions.mMaxTokens);
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
                .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, mOptions.mRetryDelay));
    }

    private Mono<JsonNode> exchange(
            String name, HttpMethod method, String uri, byte[] content, int expected) {
        return mClient.headers(
                        headers -> {
                            headers.set("Content-Type", "application/json");
                            headers.set("Content-Length", content.length);
                            if (!mOptions.mKey.isEmpty()) {
                                headers.set("Authorization", "Bearer " + mOptions.mKey);
                            }
                        })
                .request(method)
                .uri(mBaseUrl.get() + uri)
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
        mResponseCounts.computeIfAbsent(name, key -> new AtomicLong()).incrementAndGet();
    }

    private static final class UnexpectedStatusException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private UnexpectedStatusException(int status) {
            super("unexpected status " + status);
        }
    }
}
