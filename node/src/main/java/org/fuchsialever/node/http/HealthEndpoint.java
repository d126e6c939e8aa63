package org.fuchsialever.node.http;

import java.util.function.BooleanSupplier;
import org.fuchsialever.frontend.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Responds with 200 or 503 to health checks of the platform's load balancer. */
final class HealthEndpoint implements Endpoint {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final String mPath;
    private final BooleanSupplier mHealthy;

    HealthEndpoint(String path, BooleanSupplier healthy) {
        mPath = path;
        mHealthy = healthy;
    }

    @Override
    public boolean accepts(String method, String requestPath) {
        return method.equals("GET") && requestPath.equals(mPath);
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        boolean ok = mHealthy.getAsBoolean();
        return response.status(ok ? OK : UNAVAILABLE)
                .sendString(Mono.just(ok ? "ok\n" : "unavailable\n"))
                .then();
    }
}
