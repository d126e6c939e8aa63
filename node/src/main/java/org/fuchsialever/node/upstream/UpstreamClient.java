package org.fuchsialever.node.upstream;

import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.model.RequestId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Sends requests to upstreams. */
public interface UpstreamClient {

    /**
     * Sends a request once. Cancelling the result closes the connection.
     *
     * @return the parts of the answer; fails with {@link UpstreamException}
     */
    Flux<UpstreamResponsePart> send(UpstreamCall call);

    /**
     * Asks an engine to end its work for a request. Completes without an error in every case,
     * because the work ends anyway when the engine is gone.
     */
    Mono<Void> cancel(UpstreamSpec upstream, RequestId id);

    /**
     * Asks on a fresh connection whether an upstream is alive. Never fails.
     *
     * @return whether the upstream answered
     */
    Mono<Boolean> probe(UpstreamSpec upstream, UpstreamKind kind);
}
