package org.fuchsialever.node.http;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.fuchsialever.frontend.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Responds with all metrics in the Prometheus text format. */
final class MetricsEndpoint implements Endpoint {
    private final PrometheusMeterRegistry mMeters;

    MetricsEndpoint(PrometheusMeterRegistry meters) {
        mMeters = meters;
    }

    @Override
    public boolean accepts(String method, String path) {
        return method.equals("GET") && path.equals("/metrics");
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return response.header("Content-Type", "text/plain; version=0.0.4")
                .sendString(Mono.fromSupplier(mMeters::scrape))
                .then();
    }
}
