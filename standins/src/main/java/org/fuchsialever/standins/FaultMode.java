package org.fuchsialever.standins;

import java.time.Duration;
import java.util.Locale;
import reactor.core.publisher.Mono;

/** Faults that a stand-in can simulate. */
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

    /** Responds with status 500 without running the request. */
    FAIL {
        @Override
        Mono<Void> serve(StandInExchange exchange, Duration delay) {
            return exchange.respond(StandInResponse.error(500, "stand_in_failure"));
        }
    },

    /** Runs the request to completion, then closes the connection without a response. */
    LOSE_ANSWER {
        @Override
        Mono<Void> serve(StandInExchange exchange, Duration delay) {
            return exchange.run()
                    .flatMap(response -> response.body().then())
                    .then(exchange.closeConnection());
        }
    },

    /**
     * Discards all bytes in both directions on the connections that are currently open, until they
     * are closed. New connections are served normally.
     */
    SILENT {
        @Override
        Mono<Void> activate(StandInServer server, int count) {
            return server.listen().then(Mono.fromRunnable(() -> server.silence(count)));
        }
    },

    /** Closes the port and all connections; new connections are refused. */
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

    /** Returns whether a count limits the number of requests that this fault affects. */
    boolean isLimitedByCount() {
        return this == SLOW || this == FAIL || this == LOSE_ANSWER;
    }
}
