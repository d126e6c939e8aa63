package org.fuchsialever.node.dispatch;

import reactor.core.publisher.Mono;

/** Ends the calls of this instance in an orderly way. */
public interface CallDrain {

    /** Refuses queued and new calls; completes when the running ones have ended. */
    Mono<Void> drain();
}
