package org.fuchsialever.frontend;

import io.vavr.control.Either;
import reactor.core.publisher.Mono;

/** Carries out calls. Cancelling the result, or the body of the answer, cancels the work. */
public interface CallPort {

    /** Sends a call to an upstream and returns the beginning of its answer, or a refusal. */
    Mono<Either<Refusal, CallResponse>> call(Call call);
}
