package org.fuchsialever.node.claims;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.fuchsialever.decisions.claims.Claim;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.frontend.CallResponse;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.frontend.RefusedException;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.Platform;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.util.retry.Retry;

/** Stores the outcome of a claimed call before the end of its response is passed on. */
final class OutcomeStore {
    private static final PartLogger LOG = PartLogger.of("claims");
    private static final int MAX_RETRIES = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final Platform mPlatform;
    private final Limits mLimits;
    private final Scheduler mTimers;
    private final Counter mLost;

    OutcomeStore(Platform platform, Limits limits, Scheduler timers, MeterRegistry meters) {
        mPlatform = platform;
        mLimits = limits;
        mTimers = timers;
        mLost = meters.counter("fuchsialever.claims.outcomes.lost");
    }

    /**
     * Returns the same result, whose end is delayed until the outcome is stored. If it cannot be
     * stored, the claim stays without an outcome and a repeated call is refused with {@link
     * RefusalReason#ANSWER_LOST} after the deadline of the first one.
     */
    Mono<Either<Refusal, CallResponse>> storeOutcome(
            HeldClaim held, Either<Refusal, CallResponse> result) {
        if (result.isLeft()) {
            return storeRefusal(held, result.getLeft().reason()).thenReturn(result);
        }
        CallResponse response = result.get();
        return Mono.just(
                Either.right(
                        new CallResponse(
                                response.status(), response.headers(), body(held, response))));
    }

    /**
     * Records that the caller disconnected before the end, so it is unknown whether the call ran.
     */
    Mono<Void> callerDisconnected(HeldClaim held) {
        return storeRefusal(held, RefusalReason.ANSWER_LOST);
    }

    private Flux<byte[]> body(HeldClaim held, CallResponse response) {
        return Flux.defer(
                () -> {
                    BodyCopy copy = new BodyCopy(mLimits.maxObjectBytes());
                    return response.body()
                            .doOnNext(copy::add)
                            .concatWith(
                                    Mono.defer(() -> storeResponse(held, response, copy))
                                            .then(Mono.<byte[]>empty()))
                            .onErrorResume(
                                    RefusedException.class,
                                    failure ->
                                            storeRefusal(held, failure.refusal().reason())
                                                    .thenMany(Flux.error(failure)))
                            .doOnCancel(() -> callerDisconnected(held).subscribe());
                });
    }

    private Mono<Void> storeResponse(HeldClaim held, CallResponse response, BodyCopy copy) {
        byte[] bytes = copy.mBytes.toByteArray();
        if (copy.mComplete && bytes.length > mLimits.maxRowBytes()) {
            String name = "claims/" + UUID.randomUUID();
            return mPlatform
                    .objects()
                    .putIfAbsent(name, bytes)
                    .timeout(mLimits.timeout(), mTimers)
                    .map(stored -> Option.some(name))
                    .onErrorReturn(Option.none())
                    .flatMap(
                            object ->
                                    completeClaim(held, outcome(response, Option.none(), object)));
        }
        Option<byte[]> body = copy.mComplete ? Option.some(bytes) : Option.none();
        return completeClaim(held, outcome(response, body, Option.none()));
    }

    private static StoredOutcome outcome(
            CallResponse response, Option<byte[]> body, Option<String> object) {
        return new StoredOutcome(
                Option.none(), response.status(), response.headers(), body, object);
    }

    /** Stores a refusal; a call that did not run loses its claim, so that it may be sent again. */
    private Mono<Void> storeRefusal(HeldClaim held, RefusalReason reason) {
        if (reason.outcome() == Outcome.NOT_RUN) {
            return commit(
                    held, List.of(), List.of(new Commit.Delete(ClaimedCalls.TABLE, held.rowKey())));
        }
        return completeClaim(held, StoredOutcome.ofRefusal(reason));
    }

    private Mono<Void> completeClaim(HeldClaim held, StoredOutcome outcome) {
        Claim completed =
                new Claim(
                        held.claim().digest(),
                        held.claim().deadlineMillis(),
                        Option.some(ClaimCodec.encode(outcome)));
        return commit(
                held,
                List.of(
                        new Commit.Put(
                                ClaimedCalls.TABLE, held.rowKey(), ClaimCodec.encode(completed))),
                List.of());
    }

    /** Commits with retries; the condition on the row version keeps a retry from applying twice. */
    private Mono<Void> commit(HeldClaim held, List<Commit.Put> puts, List<Commit.Delete> deletes) {
        Commit commit =
                new Commit(
                        "outcome-" + UUID.randomUUID(),
                        List.of(
                                new Commit.Condition(
                                        ClaimedCalls.TABLE, held.rowKey(), held.rowVersion())),
                        puts,
                        deletes);
        return Mono.defer(() -> mPlatform.tables().commit(commit))
                .timeout(mLimits.timeout(), mTimers)
                .retryWhen(Retry.backoff(MAX_RETRIES, RETRY_DELAY).scheduler(mTimers))
                .then()
                .onErrorResume(
                        failure -> {
                            mLost.increment();
                            LOG.warning(
                                    "The outcome of a claimed call could not be stored.", failure);
                            return Mono.empty();
                        });
    }

    /**
     * Limits of stored outcomes.
     *
     * @param maxRowBytes maximum size in bytes of a body stored in the claim row
     * @param maxObjectBytes maximum size in bytes of a body stored in the object store
     * @param timeout timeout of one request to the platform
     */
    record Limits(int maxRowBytes, int maxObjectBytes, Duration timeout) {}

    /** A copy of a body, discarded when the body exceeds the limit. */
    private static final class BodyCopy {
        private final int mMaxBytes;
        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
        private boolean mComplete = true;

        private BodyCopy(int limit) {
            mMaxBytes = limit;
        }

        private void add(byte[] chunk) {
            if (mComplete && mBytes.size() + chunk.length <= mMaxBytes) {
                mBytes.writeBytes(chunk);
            } else {
                mComplete = false;
                mBytes.reset();
            }
        }
    }
}
