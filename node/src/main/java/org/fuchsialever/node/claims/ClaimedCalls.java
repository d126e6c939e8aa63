package org.fuchsialever.node.claims;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.fuchsialever.decisions.claims.Claim;
import org.fuchsialever.decisions.claims.ClaimAction;
import org.fuchsialever.decisions.claims.ClaimMachine;
import org.fuchsialever.decisions.claims.ObservedClaim;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.frontend.Call;
import org.fuchsialever.frontend.CallPort;
import org.fuchsialever.frontend.CallResponse;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.Row;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Runs calls under claims and answers repeated ones with the stored outcome. */
final class ClaimedCalls {
    static final String TABLE = "claims";

    private static final Duration REPEAT_DELAY = Duration.ofMillis(50);

    private final Platform platform;
    private final OutcomeStore outcomes;
    private final Duration writeTimeout;
    private final TimeSource time;
    private final Scheduler timers;

    ClaimedCalls(
            Platform platform,
            OutcomeStore outcomes,
            Duration writeTimeout,
            TimeSource time,
            Scheduler timers) {
        this.platform = platform;
        this.outcomes = outcomes;
        this.writeTimeout = writeTimeout;
        this.time = time;
        this.timers = timers;
    }

    Mono<Either<Refusal, CallResponse>> call(Call call, String key, CallPort calls) {
        return Mono.defer(
                () -> {
                    long deadline = time.wallMillis() + call.route().deadline().toMillis();
                    Claim claim =
                            new Claim(ClaimCodec.requestDigest(call), deadline, Option.none());
                    ClaimMachine machine = new ClaimMachine(claim, "claim-" + UUID.randomUUID());
                    String row = ClaimCodec.rowKey(call, key);
                    return carryOut(new Request(call, calls, row, claim, machine), machine.start());
                });
    }

    private Mono<Either<Refusal, CallResponse>> carryOut(Request request, ClaimAction action) {
        if (action instanceof ClaimAction.WriteClaim write) {
            return write(request, write).flatMap(next -> carryOut(request, next));
        }
        if (action instanceof ClaimAction.ReadBack) {
            return readBack(request).flatMap(next -> carryOut(request, next));
        }
        if (action instanceof ClaimAction.Run run) {
            HeldClaim held = new HeldClaim(request.row, run.version(), request.claim);
            return request.calls
                    .call(request.call)
                    .doOnCancel(() -> outcomes.abandoned(held).subscribe())
                    .flatMap(result -> outcomes.keep(held, result));
        }
        if (action instanceof ClaimAction.Replay replay) {
            return replay(ClaimCodec.decodeOutcome(replay.outcome()));
        }
        return refused(Refusal.of(((ClaimAction.Refuse) action).reason()));
    }

    private Mono<ClaimAction> write(Request request, ClaimAction.WriteClaim write) {
        Commit commit =
                new Commit(
                        write.writer(),
                        List.of(new Commit.Condition(TABLE, request.row, 0)),
                        List.of(
                                new Commit.Put(
                                        TABLE, request.row, ClaimCodec.encode(write.claim()))),
                        List.of());
        Mono<ClaimAction> result =
                platform.tables()
                        .commit(commit)
                        .timeout(writeTimeout, timers)
                        .map(answer -> answered(request, answer))
                        .onErrorResume(
                                failure ->
                                        Mono.just(
                                                request.machine.writeFailed(
                                                        effectUnknown(failure))));
        return write.earlierWrites() == 0
                ? result
                : Mono.delay(REPEAT_DELAY.multipliedBy(write.earlierWrites()), timers).then(result);
    }

    private ClaimAction answered(Request request, CommitResult answer) {
        if (answer instanceof CommitResult.Committed committed) {
            return request.machine.committed(committed.version());
        }
        List<Row> rows = ((CommitResult.Conflict) answer).rows();
        Option<ObservedClaim> present =
                rows.isEmpty() ? Option.none() : Option.some(ClaimCodec.decode(rows.get(0)));
        return request.machine.conflict(present, time.wallMillis());
    }

    private Mono<ClaimAction> readBack(Request request) {
        return platform.tables()
                .read(TABLE, request.row)
                .timeout(writeTimeout, timers)
                .map(
                        row ->
                                request.machine.readBack(
                                        row.map(ClaimCodec::decode), time.wallMillis()))
                .onErrorResume(failure -> Mono.just(request.machine.readFailed()));
    }

    private Mono<Either<Refusal, CallResponse>> replay(StoredOutcome outcome) {
        if (outcome.refusal().isDefined()) {
            return refused(Refusal.of(outcome.refusal().get()));
        }
        if (outcome.body().isDefined()) {
            return Mono.just(answer(outcome, outcome.body().get()));
        }
        Refusal notKept =
                Refusal.of(
                        RefusalReason.ANSWER_LOST, "the request has run; its answer was not kept");
        if (outcome.object().isEmpty()) {
            return refused(notKept);
        }
        return platform.objects()
                .read(outcome.object().get())
                .timeout(writeTimeout, timers)
                .map(
                        body ->
                                body.isDefined()
                                        ? answer(outcome, body.get())
                                        : Either.<Refusal, CallResponse>left(notKept))
                .onErrorResume(failure -> refused(notKept));
    }

    private static Either<Refusal, CallResponse> answer(StoredOutcome outcome, byte[] body) {
        return Either.right(new CallResponse(outcome.status(), outcome.headers(), Flux.just(body)));
    }

    private static boolean effectUnknown(Throwable failure) {
        return !(failure instanceof PlatformException known)
                || known.effect() == PlatformException.Effect.UNKNOWN;
    }

    private static Mono<Either<Refusal, CallResponse>> refused(Refusal refusal) {
        return Mono.just(Either.left(refusal));
    }

    private record Request(
            Call call, CallPort calls, String row, Claim claim, ClaimMachine machine) {}
}
