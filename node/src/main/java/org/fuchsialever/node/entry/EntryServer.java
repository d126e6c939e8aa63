package org.fuchsialever.node.entry;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
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

/** One listening address for callers or for the balancer. */
final class EntryServer implements AutoCloseable {
    /** Above the limit of any manifest; the manifest's own limit is checked for bodies. */
    private static final int MAX_HEADER_BYTES = 64 * 1_024;

    /** Above the time for which callers reuse an idle connection. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final EntryHandler handler;
    private final EntryProtocol protocol;
    private final Refusals refusals;
    private final BooleanSupplier ready;
    private final DrainSignal drain;
    private final DisposableServer server;
    private final AtomicInteger inProgress = new AtomicInteger();

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
            DrainSignal drain) {
        this.handler = handler;
        this.protocol = protocol;
        this.refusals = refusals;
        this.ready = ready;
        this.drain = drain;
        this.server =
                HttpServer.create()
                        .host(host)
                        .port(port)
                        .runOn(loops)
                        .idleTimeout(IDLE_TIMEOUT)
                        .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
                        .handle(this::handle)
                        .bindNow();
    }

    /** Returns the TCP port. */
    int port() {
        return server.port();
    }

    /** Returns the number of requests without an answer. */
    int inProgress() {
        return inProgress.get();
    }

    @Override
    public void close() {
        server.disposeNow(CLOSE_TIMEOUT);
    }

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String method = request.method().name();
        EntryRequest head = protocol.readRequest(method, request.uri(), request.requestHeaders());
        if (head.kind() == EntryRequest.Kind.READINESS) {
            boolean isReady = ready.getAsBoolean();
            return response.status(isReady ? OK : UNAVAILABLE)
                    .header(HttpHeaderNames.CONTENT_LENGTH, "0")
                    .send();
        }
        inProgress.incrementAndGet();
        Either<EntryAnswer, EntryHandler.Accepted> checked = handler.check(head);
        Mono<EntryAnswer> answer =
                checked.isLeft()
                        ? Mono.just(checked.getLeft())
                        : body(request, checked.get())
                                .flatMap(
                                        body ->
                                                handler.answer(
                                                        checked.get(),
                                                        method,
                                                        request.uri(),
                                                        request.requestHeaders(),
                                                        body))
                                .onErrorResume(
                                        BodyTooLargeException.class,
                                        tooLarge ->
                                                Mono.just(
                                                        refusals.refusal(
                                                                head.requestId(),
                                                                EntryRefusal.BODY_TOO_LARGE,
                                                                head.path())));
        return answer.flatMap(result -> write(response, result))
                .doFinally(signal -> inProgress.decrementAndGet());
    }

    private static Mono<byte[]> body(HttpServerRequest request, EntryHandler.Accepted accepted) {
        int limit = accepted.manifest().limits().maxBodyBytes();
        return request.receive()
                .asByteArray()
                .collect(
                        ByteArrayOutputStream::new,
                        (buffer, bytes) -> {
                            if (buffer.size() + bytes.length > limit) {
                                throw new BodyTooLargeException();
                            }
                            buffer.writeBytes(bytes);
                        })
                .map(ByteArrayOutputStream::toByteArray);
    }

    private Mono<Void> write(HttpServerResponse response, EntryAnswer answer) {
        response.status(answer.status());
        response.headers(answer.headers());
        if (drain.isStarted()) {
            response.keepAlive(false);
        }
        if (answer instanceof EntryAnswer.Whole whole) {
            response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(whole.body().length));
            return whole.body().length == 0
                    ? response.send()
                    : response.sendByteArray(Mono.just(whole.body())).then();
        }
        Flux<byte[]> body = ((EntryAnswer.Streamed) answer).body();
        // Each event is flushed on its own, so that it reaches the caller without delay.
        return response.send(body.map(Unpooled::wrappedBuffer), event -> true).then();
    }

    /** A body is larger than the manifest allows. */
    private static final class BodyTooLargeException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BodyTooLargeException() {
            super("the body is too large", null, false, false);
        }
    }
}
