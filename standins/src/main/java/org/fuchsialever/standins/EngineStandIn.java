package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * A model engine with continuous batching. The text of each token is determined by {@link
 * #tokenText}, so that a test can check that a response is complete.
 */
public final class EngineStandIn extends StandInServer {
    private static final int DEFAULT_MAX_TOKENS = 16;

    private final EngineOptions mOptions;
    private final EngineSlots mSlots;
    private final PrefixCache mCache;
    private final AtomicLong mWeightVersion;
    private final AtomicLong mHighestFencing = new AtomicLong();
    private final AtomicInteger mVersionLoadFailuresLeft = new AtomicInteger();
    private final AtomicLong mGeneratedTokens = new AtomicLong();
    private final AtomicLong mCacheHits = new AtomicLong();
    private final AtomicLong mAnonymousRequestCount = new AtomicLong();
    private final List<EngineOrder> mOrders = new CopyOnWriteArrayList<>();
    private final List<String> mStartedRequests = new CopyOnWriteArrayList<>();
    private final List<String> mCancelledRequests = new CopyOnWriteArrayList<>();
    private volatile String mStartId;
    private volatile boolean mLeaving;
    private volatile boolean mVersionReported = true;

    /**
     * Starts an engine with default options on a free loopback port.
     *
     * @param startId identifies one start of the engine process
     * @param tokenInterval time between two tokens of a stream
     */
    public EngineStandIn(String startId, Duration tokenInterval) {
        this(new EngineOptions().startId(startId).tokenInterval(tokenInterval));
    }

    /** Starts an engine on a free loopback port. */
    public EngineStandIn(EngineOptions options) {
        mOptions = options;
        mStartId = options.mStartId;
        mWeightVersion = new AtomicLong(options.mWeightVersion);
        mSlots =
                new EngineSlots(
                        options.mSlots,
                        options.mQueueCapacity,
                        options.mLoadReportLag.toNanos(),
                        options.mTimeSource);
        mCache = new PrefixCache(options.mCacheEntries, options.mCacheEventDropInterval);
        on("generate", "POST", "/v1/completions", request -> generate(request, false));
        on("generate", "POST", "/v1/chat/completions", request -> generate(request, true));
        on("cancel", "DELETE", "/v1/requests/([^/]+)", request -> Mono.just(cancel(request)));
        on("load", "GET", "/engine/load", request -> Mono.just(load()));
        on(
                "cache-events",
                "GET",
                "/engine/cache-events",
                request -> Mono.just(cacheEvents(request)));
        on("order", "POST", "/engine/orders", this::order);
        on("control", "POST", "/stand-in/engine", request -> Mono.just(control(request.json())));
        open();
    }

    /**
     * Returns the text of a token. A prompt whose first word is {@code @name} gives the tokens
     * {@code name.w0}, {@code name.w1} and so on, any other prompt {@code w0}, {@code w1} and so
     * on; each is followed by a space.
     */
    public static String tokenText(String prompt, int index) {
        String tag = prompt.startsWith("@") ? prompt.substring(1).split("\\s", 2)[0] + "." : "";
        return tag + "w" + index + " ";
    }

    /** Returns the part of a prompt that cache events name: its first 64 characters. */
    public static String cachedPrefix(String prompt) {
        return PrefixCache.prefixOf(prompt);
    }

    /** Switches to a weight version immediately, also for running requests. */
    public void loadVersion(long version) {
        mWeightVersion.set(version);
    }

    /** Returns the weight version in use. */
    public long weightVersion() {
        return mWeightVersion.get();
    }

    /** Makes the next {@code count} orders to load a version fail with status 500. */
    public void failVersionLoads(int count) {
        mVersionLoadFailuresLeft.set(count);
    }

    /** Reports the engine as leaving and admits no more requests. */
    public void leave() {
        mLeaving = true;
    }

    /** Sets whether responses include the weight version. */
    public void setVersionReported(boolean reported) {
        mVersionReported = reported;
    }

    /** Restarts the engine: closes all connections and clears the cache. */
    public void restart(String newStartId, long version) {
        mStartId = newStartId;
        mWeightVersion.set(version);
        mLeaving = false;
        mCache.clear();
        closeConnections();
    }

    /** Returns the number of requests that hold a slot. */
    public int running() {
        return mSlots.running();
    }

    /** Returns the number of requests that wait for a slot. */
    public int waiting() {
        return mSlots.waiting();
    }

    /** Returns the number of tokens generated, in streams and in complete responses. */
    public long generatedTokens() {
        return mGeneratedTokens.get();
    }

    /** Returns the number of prefix cache hits. */
    public long cacheHits() {
        return mCacheHits.get();
    }

    /** Returns the IDs of requests in the order in which they were granted a slot. */
    public List<String> startedRequests() {
        return List.copyOf(mStartedRequests);
    }

    /** Returns the IDs of requests that were cancelled or whose caller disconnected. */
    public List<String> cancelledRequests() {
        return List.copyOf(mCancelledRequests);
    }

    /** Returns the executed orders, including repeated ones. */
    public List<EngineOrder> orders() {
        return List.copyOf(mOrders);
    }

    private Mono<StandInResponse> generate(StandInRequest request, boolean chat) {
        JsonNode call = request.json();
        String id = request.header("X-Request-Id");
        String requestId =
                id.isEmpty() ? "anonymous-" + mAnonymousRequestCount.incrementAndGet() : id;
        EngineSlots.Ticket ticket =
                mLeaving ? null : mSlots.request(requestId, call.path("priority").asInt());
        if (ticket == null) {
            return Mono.just(StandInResponse.error(mLeaving ? 503 : 429, "not_admitted"));
        }
        EngineCompletion completion = EngineCompletion.of(call, chat, mOptions, DEFAULT_MAX_TOKENS);
        Mono<Void> slot = ticket.granted().doOnSuccess(done -> mStartedRequests.add(requestId));
        if (call.path("stream").asBoolean(false)) {
            return Mono.just(
                    StandInResponse.events(
                            slot.thenMany(Flux.defer(() -> chunks(completion)))
                                    .takeUntilOther(ticket.cancelled())
                                    .doOnTerminate(ticket::release)
                                    .doOnCancel(() -> onCallerDisconnected(requestId, ticket))));
        }
        return slot.then(Mono.defer(() -> Mono.delay(completion.totalTime(useCache(completion)))))
                .map(done -> completeResponse(completion))
                .takeUntilOther(ticket.cancelled())
                .defaultIfEmpty(StandInResponse.error(499, "cancelled"))
                .doOnTerminate(ticket::release)
                .doOnCancel(() -> onCallerDisconnected(requestId, ticket));
    }

    private void onCallerDisconnected(String requestId, EngineSlots.Ticket ticket) {
        mCancelledRequests.add(requestId);
        ticket.release();
    }

    private Flux<byte[]> chunks(EngineCompletion completion) {
        return completion
                .tokenIndexes(useCache(completion))
                .map(index -> serverSentEvent(chunk(completion, index).toString()))
                .concatWithValues(serverSentEvent("[DONE]"));
    }

    private StandInResponse completeResponse(EngineCompletion completion) {
        mGeneratedTokens.addAndGet(completion.tokenCount());
        ObjectNode body = completion.toDocument();
        addEngineFields(body, completion.firstIndex());
        return StandInResponse.json(200, body);
    }

    private ObjectNode chunk(EngineCompletion completion, int index) {
        mGeneratedTokens.incrementAndGet();
        ObjectNode chunk = completion.chunk(index);
        addEngineFields(chunk, index);
        return chunk;
    }

    private void addEngineFields(ObjectNode body, int tokenIndex) {
        ObjectNode engine = body.putObject("engine");
        engine.put("start", mStartId);
        if (mVersionReported) {
            engine.put("weight_version", mWeightVersion.get());
        }
        engine.put("token_index", tokenIndex);
    }

    private boolean useCache(EngineCompletion completion) {
        boolean hit = mCache.use(completion.prompt());
        if (hit) {
            mCacheHits.incrementAndGet();
        }
        return hit;
    }

    private StandInResponse cancel(StandInRequest request) {
        String id = request.pathArguments().get(0);
        if (!mSlots.cancel(id)) {
            return StandInResponse.error(404, "unknown_request");
        }
        mCancelledRequests.add(id);
        return StandInResponse.json(200, Json.object());
    }

    private StandInResponse load() {
        EngineSlots.Load load = mSlots.load();
        ObjectNode body = Json.object();
        body.put("running", load.runningCount()).put("waiting", load.waitingCount());
        body.put("slots", mOptions.mSlots).put("weight_version", mWeightVersion.get());
        body.put("engine_start", mStartId).put("leaving", mLeaving);
        body.put(
                "reported_at_millis",
                mOptions.mTimeSource.wallMillis() - mOptions.mLoadReportLag.toMillis());
        return StandInResponse.json(200, body);
    }

    private StandInResponse cacheEvents(StandInRequest request) {
        long after = Long.parseLong(request.query("after", "0"));
        return StandInResponse.json(200, mCache.eventsAfter(after));
    }

    private Mono<StandInResponse> order(StandInRequest request) {
        JsonNode body = request.json();
        EngineOrder order =
                new EngineOrder(
                        body.path("order").asText(),
                        body.path("fencing").asLong(),
                        body.path("version").asLong());
        long highest = mHighestFencing.accumulateAndGet(order.fencing(), Math::max);
        if (mOptions.mEnforceFencing && order.fencing() < highest) {
            return Mono.just(StandInResponse.error(409, "stale_fencing"));
        }
        if (mVersionLoadFailuresLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            return Mono.just(StandInResponse.error(500, "load_failed"));
        }
        mOrders.add(order);
        return Mono.delay(mOptions.mVersionLoadTime)
                .map(
                        done -> {
                            mWeightVersion.set(order.version());
                            return StandInResponse.json(200, Json.object());
                        });
    }

    /** Executes {@code leave}, or {@code restart} with {@code start} and {@code version}. */
    private StandInResponse control(JsonNode body) {
        String action = body.path("action").asText();
        if (action.equals("leave")) {
            leave();
        } else if (action.equals("restart")) {
            restart(body.path("start").asText(), body.path("version").asLong());
        } else {
            return StandInResponse.error(400, "unknown_action");
        }
        return StandInResponse.json(200, Json.object());
    }

    private static byte[] serverSentEvent(String data) {
        return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
