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

    private final String path;
    private final BooleanSupplier healthy;

    HealthEndpoint(String path, BooleanSupplier healthy) {
        this.path = path;
        this.healthy = healthy;
    }

    @Override
    public boolean accepts(String method, String requestPath) {
        return method.equals("GET") && requestPath.equals(path);
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        boolean ok = healthy.getAsBoolean();
        return response.status(ok ? OK : UNAVAILABLE)
                .sendString(Mono.just(ok ? "ok\n" : "unavailable\n"))
                .then();
    }
}
