package org.fuchsialever.node.upstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.HeaderField;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

/** Sends requests over pooled HTTP connections, each of them at most once. */
public final class HttpUpstreamClient implements UpstreamClient, AutoCloseable {
    private static final int MAX_CONNECTIONS = 4_096;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final Duration MAX_IDLE = Duration.ofSeconds(30);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);
    private static final Set<String> RETURNED = Set.of("content-type");
    private static final String NOT_RUN_HEADER = "X-Not-Run";
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int SERVER_ERRORS = 500;

    private final InvariantMonitor invariants;
    private final Duration probeTimeout;
    private final Scheduler timers;
    private final ConnectionProvider connections;
    private final HttpClient client;
    private final HttpClient freshClient;

    /**
     * Creates a client with a connection pool of its own.
     *
     * @param invariants receives the checks of requests
     * @param probeTimeout the longest wait for the answer to a probe
     * @param timers runs the timers
     */
    public HttpUpstreamClient(
            InvariantMonitor invariants, Duration probeTimeout, Scheduler timers) {
        this.invariants = invariants;
        this.probeTimeout = probeTimeout;
        this.timers = timers;
        this.connections =
                ConnectionProvider.builder("upstreams")
                        .maxConnections(MAX_CONNECTIONS)
                        .pendingAcquireMaxCount(MAX_CONNECTIONS)
                        .maxIdleTime(MAX_IDLE)
                        .build();
        // The library would send a request again when a reused connection turns out to be dead,
        // but a request that may not be repeated must not be sent twice.
        this.client =
                HttpClient.create(connections)
                        .disableRetry(true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        this.freshClient =
                HttpClient.newConnection()
                        .disableRetry(true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    @Override
    public Flux<UpstreamResponsePart> send(UpstreamCall call) {
        boolean showsSecret = call.showsSecret();
        invariants.check(
                Invariant.KEY_HIDDEN_FROM_UPSTREAMS,
                !showsSecret,
                () -> "request " + call.id() + " to " + call.upstream().id());
        if (showsSecret) {
            return Flux.error(
                    new UpstreamException(
                            AttemptResult.NOT_CONNECTED, "the request contains a caller's key"));
        }
        AtomicBoolean written = new AtomicBoolean();
        // doOnRequest runs on an open connection before the first byte is written, so a failure
        // with the flag unset cannot have reached the upstream.
        return client.doOnRequest((request, connection) -> written.set(true))
                .headers(headers -> addHeaders(headers, call))
                .request(HttpMethod.valueOf(call.method()))
                .uri(base(call.upstream()) + call.uri())
                .send(ByteBufFlux.from(Mono.just(Unpooled.wrappedBuffer(call.body()))))
                .response((response, content) -> parts(call.kind(), response, content))
                .onErrorMap(
                        failure -> !(failure instanceof UpstreamException),
                        failure -> describe(failure, written.get()));
    }

    @Override
    public Mono<Void> cancel(UpstreamSpec upstream, RequestId id) {
        return freshClient
                .delete()
                .uri(base(upstream) + "/v1/requests/" + id.value())
                .response()
                .timeout(CANCEL_TIMEOUT, timers)
                .onErrorResume(failure -> Mono.empty())
                .then();
    }

    @Override
    public Mono<Boolean> probe(UpstreamSpec upstream, UpstreamKind kind) {
        Mono<Boolean> answer =
                kind == UpstreamKind.ENGINE
                        ? freshClient
                                .get()
                                .uri(base(upstream) + "/engine/load")
                                .response()
                                .map(response -> response.status().code() < SERVER_ERRORS)
                        : TcpClient.newConnection()
                                .host(upstream.address())
                                .port(upstream.port())
                                .connect()
                                .doOnNext(connection -> connection.dispose())
                                .map(connection -> true);
        return answer.timeout(probeTimeout, timers).onErrorReturn(false).defaultIfEmpty(false);
    }

    @Override
    public void close() {
        connections.dispose();
    }

    private static Flux<UpstreamResponsePart> parts(
            UpstreamKind kind, HttpClientResponse response, ByteBufFlux content) {
        int status = response.status().code();
        HttpHeaders headers = response.responseHeaders();
        UpstreamResponsePart.Head head = new UpstreamResponsePart.Head(status, returned(headers));
        if (kind == UpstreamKind.ENGINE) {
            boolean eventStream =
                    headers.get("Content-Type", "")
                            .toLowerCase(java.util.Locale.ROOT)
                            .startsWith("text/event-stream");
            return EngineAnswerReader.read(head, eventStream, content.asByteArray());
        }
        if (status == SERVICE_UNAVAILABLE
                && headers.get(NOT_RUN_HEADER, "false").equalsIgnoreCase("true")) {
            return content.thenMany(
                    Flux.error(
                            new UpstreamException(
                                    AttemptResult.NOT_ADMITTED, "the upstream did not run it")));
        }
        if (status >= SERVER_ERRORS) {
            return content.thenMany(
                    Flux.error(
                            new UpstreamException(
                                    AttemptResult.UPSTREAM_ERROR,
                                    "the upstream answered " + status)));
        }
        return Flux.concat(
                Mono.just(head), content.asByteArray().map(UpstreamResponsePart.Content::new));
    }

    private static void addHeaders(HttpHeaders headers, UpstreamCall call) {
        for (HeaderField field : call.headers()) {
            headers.set(field.name(), field.value());
        }
        headers.set("X-Request-Id", call.id().value());
        headers.set("Content-Length", call.body().length);
    }

    private static String base(UpstreamSpec upstream) {
        String address = upstream.address();
        String host = address.contains(":") ? "[" + address + "]" : address;
        return "http://" + host + ":" + upstream.port();
    }

    private static List<HeaderField> returned(HttpHeaders headers) {
        List<HeaderField> fields = new ArrayList<>();
        for (String name : RETURNED) {
            String value = headers.get(name);
            if (value != null) {
                fields.add(new HeaderField(name, value));
            }
        }
        return fields;
    }

    private static UpstreamException describe(Throwable failure, boolean written) {
        AttemptResult result =
                written ? AttemptResult.CONNECTION_LOST : AttemptResult.NOT_CONNECTED;
        return new UpstreamException(result, "attempt failed: " + failure, failure);
    }
}
