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
 * Passes calls on; one that may not be repeated and has an Idempotency-Key must be claimed first.
 * As long as no component can claim, such a call is refused as not run.
 */
public final class ClaimGate implements CallPort {
    private static final int MAX_KEY_LENGTH = 256;

    private final CallPort calls;
    private volatile @Nullable ClaimedCalls claimed;

    /** Creates a gate before the port that carries out calls. */
    public ClaimGate(CallPort calls) {
        this.calls = calls;
    }

    /** Sets what claims calls. */
    void open(ClaimedCalls newClaimed) {
        claimed = newClaimed;
    }

    @Override
    public Mono<Either<Refusal, CallResponse>> call(Call call) {
        if (call.route().repeatable() || call.idempotencyKey().isEmpty()) {
            return calls.call(call);
        }
        String key = call.idempotencyKey().get();
        if (key.isBlank() || key.length() > MAX_KEY_LENGTH) {
            return refused(
                    Refusal.of(
                            RefusalReason.MALFORMED_BODY,
                            "an Idempotency-Key has 1 to " + MAX_KEY_LENGTH + " characters"));
        }
        ClaimedCalls present = claimed;
        return present == null
                ? refused(Refusal.of(RefusalReason.CLAIM_UNAVAILABLE))
                : present.call(call, key, calls);
    }

    private static Mono<Either<Refusal, CallResponse>> refused(Refusal refusal) {
        return Mono.just(Either.left(refusal));
    }
}
