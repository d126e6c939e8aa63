package org.fuchsialever.frontend;

import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;

/** Bounds what the clients of a front end hold. */
public interface ConnectionGuard {

    /** Bounds the connections of a server that is not bound to its port yet. */
    HttpServer guarded(HttpServer server);

    /** Returns whether there is no room for a request, so that it must be refused. */
    boolean isRefused(HttpServerRequest request);

    /** Returns a guard without bounds. */
    static ConnectionGuard none() {
        return new ConnectionGuard() {
            @Override
            public HttpServer guarded(HttpServer server) {
                return server;
            }

            @Override
            public boolean isRefused(HttpServerRequest request) {
                return false;
            }
        };
    }
}
