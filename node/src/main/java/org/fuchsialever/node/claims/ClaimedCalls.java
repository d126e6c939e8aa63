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

/** Runs calls under claims and responds to repeated calls with the stored outcome. */
final class ClaimedCalls {
    static final String TABLE = "claims";

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final Platform mPlatform;
    private final OutcomeStore mOutcomes;
    private final Duration mWriteTimeout;
    private final TimeSource mTime;
    private final Scheduler mTimers;

    ClaimedCalls(
            Platform platform,
            OutcomeStore outcomes,
            Duration writeTimeout,
            TimeSource time,
            Scheduler timers) {
        mPlatform = platform;
        mOutcomes = outcomes;
        mWriteTimeout = writeTimeout;
        mTime = time;
        mTimers = timers;
    }

    Mono<Either<Refusal, CallResponse>> call(Call call, String key, CallPort calls) {
        return Mono.defer(
                () -> {
                    long deadline = mTime.wallMillis() + call.route().deadline().toMillis();
                    Claim claim =
                            new Claim(ClaimCodec.requestDigest(call), deadline, Option.none());
                    ClaimMachine machine = new ClaimMachine(claim, "claim-" + UUID.randomUUID());
                    String row = ClaimCodec.rowKey(call, key);
                    return execute(new Request(call, calls, row, claim, machine), machine.start());
                });
    }

    private Mono<Either<Refusal, CallResponse>> execute(Request request, ClaimAction action) {
        if (action instanceof ClaimAction.WriteClaim write) {
            return writeClaim(request, write).flatMap(next -> execute(request, next));
        }
        if (action instanceof ClaimAction.ReadBack) {
            return readBack(request).flatMap(next -> execute(request, next));
        }
        if (action instanceof ClaimAction.Run run) {
            HeldClaim held = new HeldClaim(request.rowKey, run.version(), request.claim);
            return request.calls
                    .call(request.call)
                    .doOnCancel(() -> mOutcomes.callerDisconnected(held).subscribe())
                    .flatMap(result -> mOutcomes.storeOutcome(held, result));
        }
        if (action instanceof ClaimAction.Replay replay) {
            return replay(ClaimCodec.decodeOutcome(replay.outcome()));
        }
        return refused(Refusal.of(((ClaimAction.Refuse) action).reason()));
    }

    private Mono<ClaimAction> writeClaim(Request request, ClaimAction.WriteClaim write) {
        Commit commit =
                new Commit(
                        write.writer(),
                        List.of(new Commit.Condition(TABLE, request.rowKey, 0)),
                        List.of(
                                new Commit.Put(
                                        TABLE, request.rowKey, ClaimCodec.encode(write.claim()))),
                        List.of());
        Mono<ClaimAction> next =
                mPlatform
                        .tables()
                        .commit(commit)
                        .timeout(mWriteTimeout, mTimers)
                        .map(result -> writeResult(request, result))
                        .onErrorResume(
                                failure ->
                                        Mono.just(
                                                request.machine.writeFailed(
                                                        effectUnknown(failure))));
        return write.earlierWrites() == 0
                ? next
                : Mono.delay(RETRY_DELAY.multipliedBy(write.earlierWrites()), mTimers).then(next);
    }

    private ClaimAction writeResult(Request request, CommitResult result) {
        if (result instanceof CommitResult.Committed committed) {
            return request.machine.committed(committed.version());
        }
        List<Row> rows = ((CommitResult.Conflict) result).rows();
        Option<ObservedClaim> current =
                rows.isEmpty() ? Option.none() : Option.some(ClaimCodec.decode(rows.get(0)));
        return request.machine.conflict(current, mTime.wallMillis());
    }

    private Mono<ClaimAction> readBack(Request request) {
        return mPlatform
                .tables()
                .read(TABLE, request.rowKey)
                .timeout(mWriteTimeout, mTimers)
                .map(
                        row ->
                                request.machine.readBack(
                                        row.map(ClaimCodec::decode), mTime.wallMillis()))
                .onErrorResume(failure -> Mono.just(request.machine.readFailed()));
    }

    private Mono<Either<Refusal, CallResponse>> replay(StoredOutcome outcome) {
        if (outcome.refusal().isDefined()) {
            return refused(Refusal.of(outcome.refusal().get()));
        }
        if (outcome.body().isDefined()) {
            return Mono.just(response(outcome, outcome.body().get()));
        }
        Refusal notStored =
                Refusal.of(
                        RefusalReason.ANSWER_LOST, "the request has run; its answer was not kept");
        if (outcome.objectName().isEmpty()) {
            return refused(notStored);
        }
        return mPlatform
                .objects()
                .read(outcome.objectName().get())
                .timeout(mWriteTimeout, mTimers)
                .map(
                        body ->
                                body.isDefined()
                                        ? response(outcome, body.get())
                                        : Either.<Refusal, CallResponse>left(notStored))
                .onErrorResume(failure -> refused(notStored));
    }

    private static Either<Refusal, CallResponse> response(StoredOutcome outcome, byte[] body) {
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
            Call call, CallPort calls, String rowKey, Claim claim, ClaimMachine machine) {}
}
