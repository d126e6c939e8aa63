package org.fuchsialever.node.entry;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.fuchsialever.node.callers.CallerGuard;
import org.fuchsialever.node.callers.GuardedPort;
import org.fuchsialever.node.entry.BodyReader.BodyRefusedException;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.services.hosted.EntryProtocol;
import org.fuchsialever.services.hosted.EntryRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** HTTP server on one port, for callers or for readiness checks. */
final class EntryServer implements AutoCloseable {
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK_STATUS = 200;
    private static final int UNAVAILABLE_STATUS = 503;

    private final EntryHandler mHandler;
    private final EntryProtocol mProtocol;
    private final Refusals mRefusals;
    private final BooleanSupplier mReady;
    private final DrainSignal mDrain;
    private final InstanceMemory mMemory;
    private final BodyReader mBodies;
    private final DisposableServer mServer;
    private final Set<OpenRequest> mInProgress = ConcurrentHashMap.newKeySet();
    private final EntryConnections mConnections = new EntryConnections();
    private volatile boolean mRefusesNew;

    /**
     * Opens a port.
     *
     * @param host IP address
     * @param port TCP port, 0 for any free one
     */
    EntryServer(
            String host,
            int port,
            LoopResources loops,
            EntryHandler handler,
            EntryProtocol protocol,
            Refusals refusals,
            BooleanSupplier ready,
            DrainSignal drain,
            InstanceMemory memory,
            BodyReader bodies,
            CallerGuard guard) {
        mHandler = handler;
        mProtocol = protocol;
        mRefusals = refusals;
        mReady = ready;
        mDrain = drain;
        mMemory = memory;
        mBodies = bodies;
        mServer =
                GuardedPort.guarded(
                                HttpServer.create().host(host).port(port).runOn(loops),
                                guard,
                                mConnections::add)
                        .handle(this::handle)
                        .bindNow();
    }

    /** Returns the TCP port. */
    int port() {
        return mServer.port();
    }

    /** Returns the number of requests that wait for their response. */
    int inProgress() {
        return mInProgress.size();
    }

    /** Returns the number of open connections. */
    int connections() {
        return mConnections.count();
    }

    /** Refuses all further requests, opens no more connections and closes those without one. */
    void refuseNew() {
        mRefusesNew = true;
        mServer.dispose();
        mConnections.closeIdle();
    }

    /** Answers the requests that wait for their response, and returns how many there are. */
    int answerRunning() {
        int running = mInProgress.size();
        mInProgress.forEach(OpenRequest::end);
        return running;
    }

    @Override
    public void close() {
        mServer.disposeNow(CLOSE_TIMEOUT);
    }

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String method = request.method().name();
        EntryRequest head = mProtocol.readRequest(method, request.uri(), request.requestHeaders());
        if (head.kind() == EntryRequest.Kind.READINESS) {
            boolean isReady = mReady.getAsBoolean();
            return response.status(isReady ? OK_STATUS : UNAVAILABLE_STATUS)
                    .header(HttpHeaderNames.CONTENT_LENGTH, "0")
                    .send();
        }
        OpenRequest open = new OpenRequest(head, mRefusals);
        mInProgress.add(open);
        Channel channel = GuardedPort.connection(request);
        mConnections.begin(channel);
        InstanceMemory.Lease lease = mMemory.open();
        AtomicBoolean unread = new AtomicBoolean();
        Mono<EntryResponse> respond =
                GuardedPort.isRefused(request)
                        ? refuse(head, unread)
                        : respond(open, head, method, request, lease, unread);
        return open.orEnd(respond)
                .flatMap(entryResponse -> write(response, entryResponse, lease))
                .doFinally(
                        signal -> {
                            lease.close();
                            mInProgress.remove(open);
                            mConnections.end(channel);
                        })
                .then(Mono.defer(() -> unread.get() ? mBodies.discard(request) : Mono.empty()));
    }

    /** Refuses a request whose head has no room. */
    private Mono<EntryResponse> refuse(EntryRequest head, AtomicBoolean unread) {
        unread.set(true);
        return Mono.just(mRefusals.noMemory(head.requestId()));
    }

    private Mono<EntryResponse> respond(
            OpenRequest open,
            EntryRequest head,
            String method,
            HttpServerRequest request,
            InstanceMemory.Lease lease,
            AtomicBoolean unread) {
        if (mRefusesNew) {
            return Mono.just(mHandler.shuttingDown(head));
        }
        Either<EntryResponse, EntryHandler.AcceptedRequest> checked = mHandler.check(head);
        unread.set(checked.isLeft());
        return checked.isLeft()
                ? Mono.just(checked.getLeft())
                : mBodies.read(request, checked.get(), lease)
                        .flatMap(
                                body -> {
                                    open.passedOn();
                                    return mHandler.handle(
                                            checked.get(),
                                            method,
                                            request.uri(),
                                            request.requestHeaders(),
                                            body,
                                            lease);
                                })
                        .map(whole -> mRefusals.withinMemory(whole, head, lease))
                        .onErrorResume(
                                BodyRefusedException.class,
                                refused -> {
                                    unread.set(refused.isUnread());
                                    return Mono.just(mRefusals.refusal(head, refused));
                                });
    }

    private Mono<Void> write(
            HttpServerResponse response, EntryResponse entryResponse, InstanceMemory.Lease lease) {
        response.status(entryResponse.status());
        response.headers(entryResponse.headers());
        if (mDrain.isStarted()) {
            response.keepAlive(false);
        }
        if (entryResponse instanceof EntryResponse.Complete complete) {
            response.header(
                    HttpHeaderNames.CONTENT_LENGTH, Integer.toString(complete.body().length));
            return complete.body().length == 0
                    ? response.send()
                    : response.sendByteArray(Mono.just(complete.body())).then();
        }
        // The header fields above replace the server's framing. Without chunks the end of the
        // connection would end the body, and a stream that breaks off would look whole.
        response.chunkedTransfer(true);
        Flux<byte[]> body = ((EntryResponse.Streamed) entryResponse).body();
        return EventWriter.write(response, body, lease);
    }
}
