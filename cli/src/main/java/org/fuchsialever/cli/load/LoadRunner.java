package org.fuchsialever.cli.load;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.fuchsialever.kernel.time.TimeSource;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Sends the calls of a plan at their times, however long the answers take. */
final class LoadRunner implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 20_000;

    private final TimeSource time = SystemTimeSource.INSTANCE;
    private final Scheduler arrivals = Schedulers.newSingle("load-arrivals");
    private final ConnectionProvider connections =
            ConnectionProvider.builder("load")
                    .maxConnections(MAX_CONNECTIONS)
                    .pendingAcquireMaxCount(MAX_CONNECTIONS)
                    .build();
    private final HttpClient client;
    private final int maxTokens;
    private final Duration timeout;

    LoadRunner(int maxTokens, Duration timeout) {
        this.maxTokens = maxTokens;
        this.timeout = timeout;
        // A hidden second attempt would falsify both the counts and the times.
        this.client = HttpClient.create(connections).disableRetry(true);
    }

    /** Runs a plan; completes when the last call has ended. */
    Mono<Void> run(LoadPlan plan, LoadTarget target, LoadResult result) {
        return Mono.defer(() -> new Phase(plan, target, result).start());
    }

    @Override
    public void close() {
        arrivals.dispose();
        connections.dispose();
    }

    private Mono<Void> send(LoadTarget target, LoadPlan.PlannedCall call, CallRecorder recorder) {
        byte[] body = call.kind().body(call.number(), maxTokens).getBytes(StandardCharsets.UTF_8);
        return client.headers(
                        headers -> {
                            headers.set("Content-Type", "application/json");
                            headers.set("Content-Length", body.length);
                            if (!target.key().isEmpty()) {
                                headers.set("Authorization", "Bearer " + target.key());
                            }
                        })
                .post()
                .uri(call.kind().url(target))
                .send(ByteBufFlux.from(Mono.just(Unpooled.wrappedBuffer(body))))
                .response(
                        (response, content) -> {
                            recorder.onStatus(response.status().code());
                            return content.asByteArray().doOnNext(recorder::onContent);
                        })
                .then()
                .timeout(timeout)
                .doOnSuccess(done -> recorder.onEnd())
                .doOnError(recorder::onFailure)
                .onErrorComplete();
    }

    private final class Phase {
        private final List<LoadPlan.PlannedCall> calls;
        private final LoadTarget target;
        private final LoadResult result;
        private final AtomicInteger open;
        private final Sinks.Empty<Void> ended = Sinks.empty();
        private final long startNanos = time.nanoTime();
        private int next;

        private Phase(LoadPlan plan, LoadTarget target, LoadResult result) {
            this.calls = plan.calls();
            this.target = target;
            this.result = result;
            this.open = new AtomicInteger(calls.size() + 1);
        }

        private Mono<Void> start() {
            arrivals.schedule(this::sendDue);
            return ended.asMono();
        }

        /** Sends all calls that are due and schedules itself for the next one. */
        private void sendDue() {
            while (next < calls.size()) {
                long wait = calls.get(next).atNanos() - (time.nanoTime() - startNanos);
                if (wait > 0) {
                    arrivals.schedule(this::sendDue, wait, TimeUnit.NANOSECONDS);
                    return;
                }
                send(calls.get(next++));
            }
            end();
        }

        private void send(LoadPlan.PlannedCall call) {
            CallRecorder recorder =
                    new CallRecorder(call.kind(), startNanos + call.atNanos(), time, result);
            LoadRunner.this
                    .send(target, call, recorder)
                    .subscribe(done -> {}, e -> end(), this::end);
        }

        private void end() {
            if (open.decrementAndGet() == 0) {
                ended.tryEmitEmpty();
            }
        }
    }
}
