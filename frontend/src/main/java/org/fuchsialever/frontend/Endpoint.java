package org.fuchsialever.frontend;

import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves some of the paths of the front end. */
public interface Endpoint {

    /** Returns whether this endpoint serves a request. */
    boolean accepts(String method, String path);

    /** Handles a request. */
    Mono<Void> handle(HttpServerRequest request, HttpServerResponse response);
}
