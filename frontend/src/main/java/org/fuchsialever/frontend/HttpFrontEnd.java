package org.fuchsialever.frontend;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.kernel.log.PartLogger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The HTTP server of an instance; passes each request to the first endpoint that accepts it. */
public final class HttpFrontEnd implements AutoCloseable {
    private static final PartLogger LOG = PartLogger.of("front-end");
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

    private final List<Endpoint> mEndpoints;
    private final ConnectionGuard mGuard;
    private final ResponseWriter mRefusals;
    private final DisposableServer mServer;
    private final AtomicInteger mInProgress = new AtomicInteger();
    private final Sinks.One<Boolean> mIdle = Sinks.one();
    private volatile boolean mDraining;

    /**
     * Opens the port.
     *
     * @param address the IP address to listen on
     * @param port the TCP port, or 0 for any free port
     * @param endpoints the endpoints in order of precedence
     * @param guard bounds what clients hold
     * @param refusals writes the refusals of requests without room
     * @throws RuntimeException if the port cannot be opened
     */
    public HttpFrontEnd(
            String address,
            int port,
            List<Endpoint> endpoints,
            ConnectionGuard guard,
            ResponseWriter refusals) {
        mEndpoints = List.copyOf(endpoints);
        mGuard = guard;
        mRefusals = refusals;
        mServer =
                guard.guarded(HttpServer.create().host(address).port(port))
                        .handle(this::dispatch)
                        .bindNow();
        LOG.info("Listening on " + address + ":" + mServer.port() + ".");
    }

    /** Returns the TCP port. */
    public int port() {
        return mServer.port();
    }

    /**
     * Stops accepting connections and closes each open connection after its next response;
     * completes when no request is in progress.
     */
    public Mono<Void> drain() {
        mDraining = true;
        mServer.dispose();
        completeIfIdle();
        return mIdle.asMono().then();
    }

    @Override
    public void close() {
        mServer.disposeNow(CLOSE_TIMEOUT);
    }

    private Publisher<Void> dispatch(HttpServerRequest request, HttpServerResponse response) {
        mInProgress.incrementAndGet();
        if (mDraining) {
            response.keepAlive(false);
        }
        return Flux.from(route(request, response)).doFinally(signal -> onRequestEnd());
    }

    private void onRequestEnd() {
        mInProgress.decrementAndGet();
        if (mDraining) {
            completeIfIdle();
        }
    }

    private void completeIfIdle() {
        if (mInProgress.get() == 0) {
            mIdle.tryEmitValue(true);
        }
    }

    private Publisher<Void> route(HttpServerRequest request, HttpServerResponse response) {
        if (mGuard.isRefused(request)) {
            return mRefusals.refuse(response, Refusal.of(RefusalReason.NO_MEMORY), "");
        }
        String method = request.method().name();
        String path = "/" + request.path();
        for (Endpoint endpoint : mEndpoints) {
            if (endpoint.accepts(method, path)) {
                return endpoint.handle(request, response);
            }
        }
        return response.sendNotFound();
    }
}
