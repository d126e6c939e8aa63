package org.fuchsialever.services;

import java.time.Duration;
import reactor.core.publisher.Mono;

/** Starts timers, so that tests can replace real time. */
@FunctionalInterface
public interface Timers {

    /** Returns a signal that completes after the given time. */
    Mono<Void> after(Duration delay);

    /** Returns timers in real time. */
    static Timers realTime() {
        return delay -> Mono.delay(delay).then();
    }
}
