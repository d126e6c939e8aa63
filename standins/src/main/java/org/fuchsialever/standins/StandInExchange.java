package org.fuchsialever.standins;

import reactor.core.publisher.Mono;

/** One HTTP exchange, as controlled by a {@link FaultMode}. */
interface StandInExchange {

    /** Runs the request, including its side effects. */
    Mono<StandInResponse> run();

    /** Sends a response. */
    Mono<Void> respond(StandInResponse response);

    /** Closes the connection without a response. */
    Mono<Void> closeConnection();
}
