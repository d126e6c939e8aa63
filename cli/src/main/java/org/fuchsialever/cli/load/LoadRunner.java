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

    private final TimeSource mTime = SystemTimeSource.INSTANCE;
    private final Scheduler mArrivals = Schedulers.newSingle("load-arrivals");
    private final ConnectionProvider mConnections =
            ConnectionProvider.builder("load")
                    .maxConnections(MAX_CONNECTIONS)
                    .pendingAcquireMaxCount(MAX_CONNECTIONS)
                    .build();
    private final HttpClient mClient;
    private final int mMaxTokens;
    private final Duration mTimeout;

    LoadRunner(int maxTokens, Duration timeout) {
        mMaxTokens = maxTokens;
        mTimeout = timeout;
        // A hidden second attempt would falsify both the counts and the times.
        mClient = HttpClient.create(mConnections).disableRetry(true);
    }

    /** Runs a plan; completes when the last call has ended. */
    Mono<Void> run(LoadPlan plan, LoadTarget target, LoadResult result) {
        return Mono.defer(() -> new Phase(plan, target, result).start());
    }

    @Override
    public void close() {
        mArrivals.dispose();
        mConnections.dispose();
    }

    private Mono<Void> send(LoadTarget target, LoadPlan.PlannedCall call, CallRecorder recorder) {
        byte[] body = call.kind().body(call.number(), mMaxTokens).getBytes(StandardCharsets.UTF_8);
        return mClient.headers(
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
                .timeout(mTimeout)
                .doOnSuccess(done -> recorder.onEnd())
                .doOnError(recorder::onFailure)
                .onErrorComplete();
    }

    private final class Phase {
        private final List<LoadPlan.PlannedCall> mCalls;
        private final LoadTarget mTarget;
        private final LoadResult mResult;
        private final AtomicInteger mOpen;
        private final Sinks.Empty<Void> mEnded = Sinks.empty();
        private final long mStartNanos = mTime.nanoTime();
        private int mNext;

        private Phase(LoadPlan plan, LoadTarget target, LoadResult result) {
            mCalls = plan.calls();
            mTarget = target;
            mResult = result;
            mOpen = new AtomicInteger(mCalls.size() + 1);
        }

        private Mono<Void> start() {
            mArrivals.schedule(this::sendDue);
            return mEnded.asMono();
        }

        /** Sends all calls that are due and schedules itself for the next one. */
        private void sendDue() {
            while (mNext < mCalls.size()) {
                long wait = mCalls.get(mNext).atNanos() - (mTime.nanoTime() - mStartNanos);
                if (wait > 0) {
                    mArrivals.schedule(this::sendDue, wait, TimeUnit.NANOSECONDS);
                    return;
                }
                send(mCalls.get(mNext++));
            }
            end();
        }

        private void send(LoadPlan.PlannedCall call) {
            CallRecorder recorder =
                    new CallRecorder(call.kind(), mStartNanos + call.atNanos(), mTime, mResult);
            LoadRunner.this
                    .send(mTarget, call, recorder)
                    .subscribe(done -> {}, e -> end(), this::end);
        }

        private void end() {
            if (mOpen.decrementAndGet() == 0) {
                mEnded.tryEmitEmpty();
            }
        }
    }
}
