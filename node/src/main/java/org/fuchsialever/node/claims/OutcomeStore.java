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

/** Stores the outcome of a claimed call before the last byte of its answer is passed on. */
final class OutcomeStore {
    private static final PartLogger LOG = PartLogger.of("claims");
    private static final int REPEATS = 3;
    private static final Duration REPEAT_DELAY = Duration.ofMillis(50);

    private final Platform platform;
    private final Limits limits;
    private final Scheduler timers;
    private final Counter lost;

    OutcomeStore(Platform platform, Limits limits, Scheduler timers, MeterRegistry meters) {
        this.platform = platform;
        this.limits = limits;
        this.timers = timers;
        this.lost = meters.counter("fuchsialever.claims.outcomes.lost");
    }

    /**
     * Returns the same result, whose end is delayed until the outcome is stored. If it cannot be
     * stored, the claim stays unfinished and a repeated call is told that the outcome is unknown.
     */
    Mono<Either<Refusal, CallResponse>> keep(HeldClaim held, Either<Refusal, CallResponse> result) {
        if (result.isLeft()) {
            return refused(held, result.getLeft().reason()).thenReturn(result);
        }
        CallResponse answer = result.get();
        return Mono.just(
                Either.right(
                        new CallResponse(answer.status(), answer.headers(), body(held, answer))));
    }

    /** The caller left before the end of the answer; whether the call ran stays unknown. */
    Mono<Void> abandoned(HeldClaim held) {
        return refused(held, RefusalReason.ANSWER_LOST);
    }

    private Flux<byte[]> body(HeldClaim held, CallResponse answer) {
        return Flux.defer(
                () -> {
                    Copy copy = new Copy(limits.objectBytes());
                    return answer.body()
                            .doOnNext(copy::add)
                            .concatWith(
                                    Mono.defer(() -> answered(held, answer, copy))
                                            .then(Mono.<byte[]>empty()))
                            .onErrorResume(
                                    RefusedException.class,
                                    failure ->
                                            refused(held, failure.refusal().reason())
                                                    .thenMany(Flux.error(failure)))
                            .doOnCancel(() -> abandoned(held).subscribe());
                });
    }

    private Mono<Void> answered(HeldClaim held, CallResponse answer, Copy copy) {
        byte[] bytes = copy.bytes.toByteArray();
        if (copy.complete && bytes.length > limits.rowBytes()) {
            String name = "claims/" + UUID.randomUUID();
            return platform.objects()
                    .putIfAbsent(name, bytes)
                    .timeout(limits.timeout(), timers)
                    .map(stored -> Option.some(name))
                    .onErrorReturn(Option.none())
                    .flatMap(object -> finish(held, outcome(answer, Option.none(), object)));
        }
        Option<byte[]> body = copy.complete ? Option.some(bytes) : Option.none();
        return finish(held, outcome(answer, body, Option.none()));
    }

    private static StoredOutcome outcome(
            CallResponse answer, Option<byte[]> body, Option<String> object) {
        return new StoredOutcome(Option.none(), answer.status(), answer.headers(), body, object);
    }

    /** A call that did not run gives its claim back, so that its caller may send it again. */
    private Mono<Void> refused(HeldClaim held, RefusalReason reason) {
        if (reason.outcome() == Outcome.NOT_RUN) {
            return commit(
                    held, List.of(), List.of(new Commit.Delete(ClaimedCalls.TABLE, held.row())));
        }
        return finish(held, StoredOutcome.ofRefusal(reason));
    }

    private Mono<Void> finish(HeldClaim held, StoredOutcome outcome) {
        Claim finished =
                new Claim(
                        held.claim().digest(),
                        held.claim().deadlineMillis(),
                        Option.some(ClaimCodec.encode(outcome)));
        return commit(
                held,
                List.of(
                        new Commit.Put(
                                ClaimedCalls.TABLE, held.row(), ClaimCodec.encode(finished))),
                List.of());
    }

    /** Repeats the same commit; its condition keeps a repeat from applying it twice. */
    private Mono<Void> commit(HeldClaim held, List<Commit.Put> puts, List<Commit.Delete> deletes) {
        Commit commit =
                new Commit(
                        "outcome-" + UUID.randomUUID(),
                        List.of(
                                new Commit.Condition(
                                        ClaimedCalls.TABLE, held.row(), held.version())),
                        puts,
                        deletes);
        return Mono.defer(() -> platform.tables().commit(commit))
                .timeout(limits.timeout(), timers)
                .retryWhen(Retry.backoff(REPEATS, REPEAT_DELAY).scheduler(timers))
                .then()
                .onErrorResume(
                        failure -> {
                            lost.increment();
                            LOG.warning("Outcome of a claimed call was not stored.", failure);
                            return Mono.empty();
                        });
    }

    /**
     * Bounds of what is kept.
     *
     * @param rowBytes the largest body that is kept in the claim row, in bytes
     * @param objectBytes the largest body that is kept in the object store, in bytes
     * @param timeout the longest wait for one answer of the platform
     */
    record Limits(int rowBytes, int objectBytes, Duration timeout) {}

    /** A copy of a body, given up when the body is too large. */
    private static final class Copy {
        private final int limit;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private boolean complete = true;

        private Copy(int limit) {
            this.limit = limit;
        }

        private void add(byte[] chunk) {
            if (complete && bytes.size() + chunk.length <= limit) {
                bytes.writeBytes(chunk);
            } else {
                complete = false;
                bytes.reset();
            }
        }
    }
}
