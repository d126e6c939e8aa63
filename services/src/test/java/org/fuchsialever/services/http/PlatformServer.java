package org.fuchsialever.services.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** A server that responds to every request in the same way and records the requests. */
final class PlatformServer implements AutoCloseable {
    /** Status that makes the server close the connection instead of responding. */
    static final int DROP = -1;

    /** Status that makes the server never respond. */
    static final int SILENT = -2;

    final List<String> mRequests = new CopyOnWriteArrayList<>();
    final AtomicInteger mConnections = new AtomicInteger();
    private final int mStatus;
    private final String mResponseBody;
    private final DisposableServer mServer;

    PlatformServer(int status, String responseBody) {
        mStatus = status;
        mResponseBody = responseBody;
        mServer =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(0)
                        // Counts connections; doOnConnection is called for each request.
                        .doOnChannelInit(
                                (observer, channel, address) -> mConnections.incrementAndGet())
                        .handle(this::handle)
                        .bindNow();
    }

    String url() {
        return "http://127.0.0.1:" + mServer.port();
    }

    @Override
    public void close() {
        mServer.disposeNow();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return request.receive()
                .aggregate()
                .asString()
                .defaultIfEmpty("")
                .flatMap(
                        body -> {
                            mRequests.add(request.method() + " " + request.uri() + " " + body);
                            return respond(response);
                        });
    }

    private Mono<Void> respond(HttpServerResponse response) {
        if (mStatus == SILENT) {
            return Mono.never();
        }
        if (mStatus == DROP) {
            response.withConnection(Connection::dispose);
            return Mono.never();
        }
        return response.status(HttpResponseStatus.valueOf(mStatus))
                .sendByteArray(Mono.just(mResponseBody.getBytes(StandardCharsets.UTF_8)))
                .then();
    }
}
