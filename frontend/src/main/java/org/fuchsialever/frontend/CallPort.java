package org.fuchsialever.frontend;

import io.vavr.control.Either;
import reactor.core.publisher.Mono;

/** Executes calls. Cancelling the result, or the body of the response, cancels the call. */
public interface CallPort {

    /** Sends a call to an upstream and returns the start of the response, or a refusal. */
    Mono<Either<Refusal, CallResponse>> call(Call call);
}
