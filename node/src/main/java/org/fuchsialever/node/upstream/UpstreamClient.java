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
     * @return the parts of the response; fails with {@link UpstreamException}
     */
    Flux<UpstreamResponsePart> send(UpstreamCall call);

    /**
     * Cancels a request at an engine. Always completes without an error, because the request ends
     * anyway if the engine has stopped.
     */
    Mono<Void> cancel(UpstreamSpec upstream, RequestId id);

    /**
     * Probes an upstream over a new connection. Never fails.
     *
     * @return whether the upstream is alive
     */
    Mono<Boolean> probe(UpstreamSpec upstream, UpstreamKind kind);
}
