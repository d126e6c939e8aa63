package org.fuchsialever.standins;

import java.time.Duration;
import java.util.Locale;
import reactor.core.publisher.Mono;

/** The ways in which a stand-in can misbehave. */
public enum FaultMode {
    /** Serves normally. */
    NONE,

    /** Serves each request after a delay. */
    SLOW {
        @Override
        Mono<Void> serve(StandInExchange exchange, Duration delay) {
            return Mono.delay(delay).then(super.serve(exchange, delay));
        }
    },

    /** Answers with status 500; the request does not run. */
    FAIL {
        @Override
        Mono<Void> serve(StandInExchange exchange, Duration delay) {
            return exchange.respond(StandInResponse.error(500, "stand_in_failure"));
        }
    },

    /** Runs the request to its end, then closes the connection without an answer. */
    LOSE_ANSWER {
        @Override
        Mono<Void> serve(StandInExchange exchange, Duration delay) {
            return exchange.run()
                    .flatMap(reply -> reply.body().then())
                    .then(exchange.closeConnection());
        }
    },

    /**
     * Passes no more bytes in either direction on the connections that are open now; they stay
     * silent until they are closed. New connections are served normally.
     */
    SILENT {
        @Override
        Mono<Void> activate(StandInServer server, int count) {
            return server.listen().then(Mono.fromRunnable(() -> server.silence(count)));
        }
    },

    /** Closes all connections and the port, so that connecting fails. */
    DOWN {
        @Override
        Mono<Void> activate(StandInServer server, int count) {
            return server.stopListening();
        }
    };

    /** Returns the constant with the name used in {@code POST /stand-in/faults}. */
    static FaultMode of(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT));
    }

    Mono<Void> serve(StandInExchange exchange, Duration delay) {
        return exchange.run().flatMap(exchange::respond);
    }

    Mono<Void> activate(StandInServer server, int count) {
        return server.listen();
    }

    /** Returns whether a count limits the number of requests that meet this fault. */
    boolean isLimitedByCount() {
        return this == SLOW || this == FAIL || this == LOSE_ANSWER;
    }
}
