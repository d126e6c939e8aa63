package org.fuchsialever.node.http;

import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.frontend.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Responds with all metrics in the Prometheus text format. */
final class MetricsEndpoint implements Endpoint {
    /** Responses that nobody reads hold a copy each; a few collectors read at a time. */
    private static final int MAX_UNREAD = 16;

    private final MetricsText mText;
    private final AtomicInteger mUnread = new AtomicInteger();

    MetricsEndpoint(MetricsText text) {
        mText = text;
    }

    @Override
    public boolean accepts(String method, String path) {
        return method.equals("GET") && path.equals("/metrics");
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        Mono<Void> sent =
                mUnread.incrementAndGet() > MAX_UNREAD
                        ? MetricsText.refuse(response)
                        : mText.send(response);
        return sent.doFinally(signal -> mUnread.decrementAndGet());
    }
}
