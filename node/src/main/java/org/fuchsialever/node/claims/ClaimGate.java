package org.fuchsialever.node.claims;

import io.vavr.control.Either;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.frontend.Call;
import org.fuchsialever.frontend.CallPort;
import org.fuchsialever.frontend.CallResponse;
import org.fuchsialever.frontend.Refusal;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

/**
 * Forwards calls. A call on a non-repeatable route that has an Idempotency-Key must be claimed
 * first; it is refused as not run while claims are not available.
 */
public final class ClaimGate implements CallPort {
    private static final int MAX_KEY_LENGTH = 256;

    private final CallPort mCalls;
    private volatile @Nullable ClaimedCalls mClaimedCalls;

    /** Creates a gate in front of the port that executes calls. */
    public ClaimGate(CallPort calls) {
        mCalls = calls;
    }

    /** Makes claims available. */
    void enableClaims(ClaimedCalls newClaimed) {
        mClaimedCalls = newClaimed;
    }

    @Override
    public Mono<Either<Refusal, CallResponse>> call(Call call) {
        if (call.route().repeatable() || call.idempotencyKey().isEmpty()) {
            return mCalls.call(call);
        }
        String key = call.idempotencyKey().get();
        if (key.isBlank() || key.length() > MAX_KEY_LENGTH) {
            return refused(
                    Refusal.of(
                            RefusalReason.MALFORMED_BODY,
                            "an Idempotency-Key has 1 to " + MAX_KEY_LENGTH + " characters"));
        }
        ClaimedCalls available = mClaimedCalls;
        return available == null
                ? refused(Refusal.of(RefusalReason.CLAIM_UNAVAILABLE))
                : available.call(call, key, mCalls);
    }

    private static Mono<Either<Refusal, CallResponse>> refused(Refusal refusal) {
        return Mono.just(Either.left(refusal));
    }
}
