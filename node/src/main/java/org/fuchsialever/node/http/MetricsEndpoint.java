package org.fuchsialever.node.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.frontend.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Responds with all metrics in the Prometheus text format. */
final class MetricsEndpoint implements Endpoint {
    /** Responses that nobody reads hold a copy each; a few collectors read at a time. */
    private static final int MAX_UNREAD = 16;

    private static final int UNAVAILABLE = 503;
    private static final String RETRY_AFTER_SECONDS = "1";

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
                mUnread.incrementAndGet() > MAX_UNREAD ? refuse(response) : send(response);
        return sent.doFinally(signal -> mUnread.decrementAndGet());
    }

    private Mono<Void> send(HttpServerResponse response) {
        byte[] text = mText.bytes();
        return response.header(HttpHeaderNames.CONTENT_TYPE, MetricsText.CONTENT_TYPE)
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(text.length))
                .sendByteArray(Mono.just(text))
                .then();
    }

    private static Mono<Void> refuse(HttpServerResponse response) {
        return response.status(UNAVAILABLE)
                .header(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
                .header(HttpHeaderNames.CONTENT_LENGTH, "0")
                .send();
    }
}
