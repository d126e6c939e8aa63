package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import org.fuchsialever.decisions.memory.MemoryShare;
import org.fuchsialever.node.callers.CallerGuard;
import org.fuchsialever.node.callers.GuardedPort;
import org.fuchsialever.node.http.MetricsText;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** HTTP server for metrics. Anybody may call it, so it is bounded like the ports of callers. */
final class MetricsServer implements AutoCloseable {
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

    /** The transport copies a text once more. */
    private static final long COPIES = 2;

    private static final int UNAVAILABLE_STATUS = 503;
    private static final String RETRY_AFTER_SECONDS = "1";

    private final MetricsText mMetrics;
    private final InstanceMemory mMemory;
    private final BodyReader mBodies;
    private final DisposableServer mServer;

    /**
     * Opens a port.
     *
     * @param host IP address
     * @param port TCP port
     */
    MetricsServer(
            String host,
            int port,
            LoopResources loops,
            MetricsText metrics,
            InstanceMemory memory,
            BodyReader bodies,
            CallerGuard guard) {
        mMetrics = metrics;
        mMemory = memory;
        mBodies = bodies;
        mServer =
                GuardedPort.guarded(
                                HttpServer.create().host(host).port(port).runOn(loops),
                                guard,
                                channel -> {})
                        .handle(this::handle)
                        .bindNow();
    }

    @Override
    public void close() {
        mServer.disposeNow(CLOSE_TIMEOUT);
    }

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        InstanceMemory.Lease lease = mMemory.open();
        byte[] text = mMetrics.bytes();
        boolean hasRoom =
                !GuardedPort.isRefused(request)
                        && lease.tryTake(MemoryShare.RESPONSE, COPIES * text.length);
        Mono<Void> sent = hasRoom ? send(response, text) : refuse(response);
        return sent.doFinally(signal -> lease.close())
                .then(Mono.defer(() -> mBodies.discard(request)));
    }

    private static Mono<Void> send(HttpServerResponse response, byte[] text) {
        return response.header(HttpHeaderNames.CONTENT_TYPE, MetricsText.CONTENT_TYPE)
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(text.length))
                .sendByteArray(Mono.just(text))
                .then();
    }

    private static Mono<Void> refuse(HttpServerResponse response) {
        return response.status(UNAVAILABLE_STATUS)
                .header(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
                .header(HttpHeaderNames.CONTENT_LENGTH, "0")
                .send();
    }
}
