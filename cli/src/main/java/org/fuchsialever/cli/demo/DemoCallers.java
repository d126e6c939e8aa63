package org.fuchsialever.cli.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.fuchsialever.kernel.time.TimeSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Callers that send calls of all kinds at a steady rate, whatever the answers take. */
final class DemoCallers implements AutoCloseable {
    private static final int OK = 200;
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int REPEATED_BOOKINGS = 5;
    private static final int BOOKINGS_WITHOUT_KEY = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String ERROR_EVENT = "data: {\"error\"";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TimeSource mTime = SystemTimeSource.INSTANCE;
    private final ConnectionProvider mConnections =
            ConnectionProvider.builder("demo-callers")
                    .maxConnections(MAX_CONNECTIONS)
                    .pendingAcquireMaxCount(MAX_CONNECTIONS)
                    .build();
    // A hidden second attempt of the client would run a call twice.
    private final HttpClient mClient = HttpClient.create(mConnections).disableRetry(true);
    private final List<String> mUrls;
    private final CallTally mTally;

    DemoCallers(List<String> urls, CallTally tally) {
        mUrls = urls;
        mTally = tally;
    }

    /** Sends calls with a key for a time; completes when the last one has ended. */
    Mono<Void> run(DemoKey key, Duration interval, Duration length) {
        return Flux.interval(interval)
                .onBackpressureDrop()
                .take(length)
                .flatMap(number -> send(key, number.intValue()), MAX_CONNECTIONS)
                .then();
    }

    /** Sends one call that may be repeated to an instance; returns its status, 0 for a failure. */
    Mono<Integer> probe(DemoKey key, String url) {
        return exchange(call(CallKind.STOCK, "probe-" + key.id(), key, url))
                .map(answer -> answer.mStatus)
                .timeout(TIMEOUT)
                .onErrorReturn(0);
    }

    @Override
    public void close() {
        mConnections.dispose();
    }

    private Mono<Void> send(DemoKey key, int number) {
        CallKind[] kinds = CallKind.values();
        CallKind kind = kinds[number % kinds.length];
        int turn = number / kinds.length;
        String name = key.team() + "-" + key.id() + "-" + number;
        boolean claimed = kind == CallKind.BOOKING && turn % BOOKINGS_WITHOUT_KEY != 0;
        Mono<Void> first = Mono.defer(() -> sendOne(call(kind, name, key, url(turn)), claimed));
        // The second request with the same Idempotency-Key goes to another instance.
        return claimed && turn % REPEATED_BOOKINGS == 1
                ? first.then(Mono.defer(() -> sendOne(call(kind, name, key, url(turn + 1)), true)))
                : first;
    }

    private Mono<Void> sendOne(DemoCall call, boolean claimed) {
        if (call.kind() == CallKind.BOOKING) {
            mTally.bookingSent(call.path());
        }
        return exchange(call, claimed)
                .timeout(TIMEOUT, Mono.fromRunnable(() -> mTally.bad(call, "no answer in time")))
                .doOnNext(answer -> finish(call, answer))
                .then();
    }

    private Mono<Received> exchange(DemoCall call) {
        return exchange(call, false);
    }

    private Mono<Received> exchange(DemoCall call, boolean claimed) {
        Received received = new Received();
        byte[] body = call.kind().body(call.name()).getBytes(StandardCharsets.UTF_8);
        return mClient.headers(fields -> addFields(fields, call, claimed, body.length))
                .post()
                .uri(call.url() + call.path())
                .send(ByteBufFlux.from(Mono.just(Unpooled.wrappedBuffer(body))))
                .response(
                        (response, content) -> {
                            received.mStatus = response.status().code();
                            return content.asByteArray()
                                    .doOnNext(part -> received.add(part, mTime.nanoTime()));
                        })
                .then()
                .doOnError(failure -> received.mFailure = failure.toString())
                .onErrorComplete()
                .thenReturn(received);
    }

    private static void addFields(
            HttpHeaders fields, DemoCall call, boolean claimed, int bodyLength) {
        fields.set("Content-Type", "application/json");
        fields.set("Content-Length", bodyLength);
        fields.set("Authorization", "Bearer " + call.key().text());
        if (claimed) {
            fields.set("Idempotency-Key", call.name());
        }
    }

    private void finish(DemoCall call, Received received) {
        long now = mTime.nanoTime();
        String text = received.mContent.toString(StandardCharsets.UTF_8);
        try {
            int event = text.lastIndexOf(ERROR_EVENT);
            if (received.mStatus != OK && !text.isEmpty()) {
                mTally.refused(call, reason(text));
            } else if (event >= 0) {
                mTally.refused(call, reason(text.substring(event + "data: ".length())));
            } else if (!received.mFailure.isEmpty()) {
                mTally.bad(call, received.mFailure);
            } else {
                CallKind.Verdict verdict = call.kind().check(call.name(), text);
                if (verdict.whole()) {
                    mTally.completed(call, verdict, received.mFirstByteNanos, now);
                } else {
                    mTally.bad(call, "not the complete answer");
                }
            }
        } catch (IOException e) {
            mTally.bad(call, "answer cannot be read: " + e.getMessage());
        }
    }

    private static String reason(String refusal) throws IOException {
        return MAPPER.readTree(refusal).at("/error/code").asText("no-code");
    }

    private String url(int turn) {
        return mUrls.get(turn % mUrls.size());
    }

    private DemoCall call(CallKind kind, String name, DemoKey key, String url) {
        return new DemoCall(kind, name, key, url, mTime.nanoTime());
    }

    /** What has arrived of an answer; used by one thread at a time. */
    private static final class Received {
        private final ByteArrayOutputStream mContent = new ByteArrayOutputStream();
        private int mStatus;
        private long mFirstByteNanos;
        private String mFailure = "";

        private void add(byte[] part, long nowNanos) {
            if (mContent.size() == 0) {
                mFirstByteNanos = nowNanos;
            }
            mContent.write(part, 0, part.length);
        }
    }
}
