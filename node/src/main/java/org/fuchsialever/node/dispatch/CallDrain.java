package org.fuchsialever.node.dispatch;

import reactor.core.publisher.Mono;

/** Drains the calls of this instance. */
public interface CallDrain {

    /** Refuses queued and new calls; completes when the running ones have ended. */
    Mono<Void> drain();
}
