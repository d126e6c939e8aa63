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
import org.fuchsialever.services.exchange.ResponseStatus;
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
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(30);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);
    private static final Set<String> RETURNED_HEADERS = Set.of("content-type");
    private static final String NOT_RUN_HEADER = "X-Not-Run";
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MIN_SERVER_ERROR = 500;

    private final InvariantMonitor mInvariants;
    private final Duration mProbeTimeout;
    private final Scheduler mTimers;
    private final ConnectionProvider mConnections;
    private final HttpClient mClient;
    private final HttpClient mUnpooledClient;

    /**
     * Creates a client with a connection pool of its own.
     *
     * @param invariants checks that requests do not contain a caller's key
     * @param probeTimeout timeout of a probe
     * @param timers schedules timeouts
     */
    public HttpUpstreamClient(
            InvariantMonitor invariants, Duration probeTimeout, Scheduler timers) {
        mInvariants = invariants;
        mProbeTimeout = probeTimeout;
        mTimers = timers;
        mConnections =
                ConnectionProvider.builder("upstreams")
                        .maxConnections(MAX_CONNECTIONS)
                        .pendingAcquireMaxCount(MAX_CONNECTIONS)
                        .maxIdleTime(MAX_IDLE_TIME)
                        .build();
        // By default Reactor Netty sends a request again if a pooled connection turns out to be
        // closed, but a request that may not be repeated must not be sent twice.
        mClient =
                HttpClient.create(mConnections)
                        .disableRetry(true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        mUnpooledClient =
                HttpClient.newConnection()
                        .disableRetry(true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    @Override
    public Flux<UpstreamResponsePart> send(UpstreamCall call) {
        boolean containsSecret = call.containsSecret();
        mInvariants.check(
                Invariant.KEY_HIDDEN_FROM_UPSTREAMS,
                !containsSecret,
                () -> "request " + call.id() + " to " + call.upstream().id());
        if (containsSecret) {
            return Flux.error(
                    new UpstreamException(
                            AttemptResult.NOT_CONNECTED, "the request contains a caller's key"));
        }
        AtomicBoolean written = new AtomicBoolean();
        // doOnRequest runs on an open connection before the first byte is written, so a request
        // that fails while the flag is unset cannot have reached the upstream.
        return mClient.doOnRequest((request, connection) -> written.set(true))
                .headers(headers -> addHeaders(headers, call))
                .request(HttpMethod.valueOf(call.method()))
                .uri(baseUri(call.upstream()) + call.uri())
                .send(ByteBufFlux.from(Mono.just(Unpooled.wrappedBuffer(call.body()))))
                .response(
                        (response, content) ->
                                ResponseStatus.valid(response.status().code())
                                        .onErrorMap(HttpUpstreamClient::malformed)
                                        .flatMapMany(
                                                status -> parts(call.kind(), response, content)))
                .onErrorMap(
                        failure -> !(failure instanceof UpstreamException),
                        failure -> toUpstreamException(failure, written.get()));
    }

    @Override
    public Mono<Void> cancel(UpstreamSpec upstream, RequestId id) {
        return mUnpooledClient
                .delete()
                .uri(baseUri(upstream) + "/v1/requests/" + id.value())
                .response()
                .timeout(CANCEL_TIMEOUT, mTimers)
                .onErrorResume(failure -> Mono.empty())
                .then();
    }

    @Override
    public Mono<Boolean> probe(UpstreamSpec upstream, UpstreamKind kind) {
        Mono<Boolean> alive =
                kind == UpstreamKind.ENGINE
                        ? mUnpooledClient
                                .get()
                                .uri(baseUri(upstream) + "/engine/load")
                                .response()
                                .flatMap(response -> ResponseStatus.valid(response.status().code()))
                                .map(status -> status < MIN_SERVER_ERROR)
                        : TcpClient.newConnection()
                                .host(upstream.address())
                                .port(upstream.port())
                                .connect()
                                .doOnNext(connection -> connection.dispose())
                                .map(connection -> true);
        return alive.timeout(mProbeTimeout, mTimers).onErrorReturn(false).defaultIfEmpty(false);
    }

    @Override
    public void close() {
        mConnections.dispose();
    }

    private static UpstreamException malformed(Throwable cause) {
        return new UpstreamException(
                AttemptResult.MALFORMED_ANSWER, "malformed response: " + cause.getMessage(), cause);
    }

    private static Flux<UpstreamResponsePart> parts(
            UpstreamKind kind, HttpClientResponse response, ByteBufFlux content) {
        int status = response.status().code();
        HttpHeaders headers = response.responseHeaders();
        UpstreamResponsePart.Head head =
                new UpstreamResponsePart.Head(status, returnedHeaders(headers));
        if (kind == UpstreamKind.ENGINE) {
            boolean eventStream =
                    headers.get("Content-Type", "")
                            .toLowerCase(java.util.Locale.ROOT)
                            .startsWith("text/event-stream");
            return EngineResponseReader.read(head, eventStream, content.asByteArray());
        }
        if (status == SERVICE_UNAVAILABLE
                && headers.get(NOT_RUN_HEADER, "false").equalsIgnoreCase("true")) {
            return content.thenMany(
                    Flux.error(
                            new UpstreamException(
                                    AttemptResult.NOT_ADMITTED,
                                    "the upstream did not run the request")));
        }
        if (status >= MIN_SERVER_ERROR) {
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

    private static String baseUri(UpstreamSpec upstream) {
        String address = upstream.address();
        String host = address.contains(":") ? "[" + address + "]" : address;
        return "http://" + host + ":" + upstream.port();
    }

    private static List<HeaderField> returnedHeaders(HttpHeaders headers) {
        List<HeaderField> fields = new ArrayList<>();
        for (String name : RETURNED_HEADERS) {
            String value = headers.get(name);
            if (value != null) {
                fields.add(new HeaderField(name, value));
            }
        }
        return fields;
    }

    private static UpstreamException toUpstreamException(Throwable failure, boolean written) {
        AttemptResult result =
                written ? AttemptResult.CONNECTION_LOST : AttemptResult.NOT_CONNECTED;
        return new UpstreamException(result, "attempt failed: " + failure, failure);
    }
}
