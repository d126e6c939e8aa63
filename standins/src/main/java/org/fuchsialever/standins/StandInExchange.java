package org.fuchsialever.standins;

import reactor.core.publisher.Mono;

/** One request on its connection, as a {@link FaultMode} sees it. */
interface StandInExchange {

    /** Runs the request; its change takes effect. */
    Mono<StandInResponse> run();

    /** Sends an answer. */
    Mono<Void> respond(StandInResponse reply);

    /** Closes the connection without an answer. */
    Mono<Void> closeConnection();
}
