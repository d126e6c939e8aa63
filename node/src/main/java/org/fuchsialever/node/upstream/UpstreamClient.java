package org.fuchsialever.node.upstream;

import reactor.core.publisher.Flux;

/** Sends requests to upstreams. */
public interface UpstreamClient {

    /**
     * Sends a request once. Cancelling the result closes the connection.
     *
     * @return the parts of the answer; fails with {@link UpstreamException}
     */
    Flux<UpstreamPart> send(UpstreamCall call);
}
