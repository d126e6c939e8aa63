package org.fuchsialever.node.entry;

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
        boolean hasRoom =
                !GuardedPort.isRefused(request)
                        && lease.tryTake(MemoryShare.RESPONSE, COPIES * mMetrics.length());
        Mono<Void> sent = hasRoom ? mMetrics.send(response) : MetricsText.refuse(response);
        return sent.doFinally(signal -> lease.close())
                .then(Mono.defer(() -> mBodies.discard(request)));
    }
}
