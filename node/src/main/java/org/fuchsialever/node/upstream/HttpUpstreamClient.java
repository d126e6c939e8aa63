package org.fuchsialever.node.upstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.frontend.HeaderField;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Sends requests over pooled HTTP connections. */
public final class HttpUpstreamClient implements UpstreamClient, AutoCloseable {
    private static final int MAX_CONNECTIONS = 4_096;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final Duration MAX_IDLE = Duration.ofSeconds(30);
    private static final Set<String> RETURNED = Set.of("content-type");
    private static final String NOT_RUN_HEADER = "X-Not-Run";
    private static final int SERVICE_UNAVAILABLE = 503;

    private final ConnectionProvider connections;
    private final HttpClient client;

    /** Creates a client with a connection pool of its own. */
    public HttpUpstreamClient() {
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
                        .option(
                                io.netty.channel.ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                CONNECT_TIMEOUT_MILLIS);
    }

    @Override
    public Flux<UpstreamPart> send(UpstreamCall call) {
        AtomicBoolean written = new AtomicBoolean();
        return client.doOnRequest((request, connection) -> written.set(true))
                .headers(headers -> addHeaders(headers, call))
                .request(HttpMethod.valueOf(call.method()))
                .uri(uri(call))
                .send(ByteBufFlux.from(Mono.just(Unpooled.wrappedBuffer(call.body()))))
                .response(this::parts)
                .onErrorMap(
                        failure -> !(failure instanceof UpstreamException),
                        failure -> describe(failure, written.get()));
    }

    @Override
    public void close() {
        connections.dispose();
    }

    private Flux<UpstreamPart> parts(HttpClientResponse response, ByteBufFlux content) {
        int status = response.status().code();
        String notRun = response.responseHeaders().get(NOT_RUN_HEADER, "false");
        if (status == SERVICE_UNAVAILABLE && notRun.equals("true")) {
            return content.thenMany(
                    Flux.error(
                            new UpstreamException(
                                    AttemptResult.NOT_ADMITTED, "the upstream did not run it")));
        }
        UpstreamPart head = new UpstreamPart.Head(status, returned(response.responseHeaders()));
        return Flux.concat(Mono.just(head), content.asByteArray().map(UpstreamPart.Content::new));
    }

    private static void addHeaders(HttpHeaders headers, UpstreamCall call) {
        for (HeaderField field : call.headers()) {
            headers.set(field.name(), field.value());
        }
        headers.set("X-Request-Id", call.id().value());
        headers.set("Content-Length", call.body().length);
    }

    private static String uri(UpstreamCall call) {
        String address = call.upstream().address();
        String host = address.contains(":") ? "[" + address + "]" : address;
        return "http://" + host + ":" + call.upstream().port() + call.uri();
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
