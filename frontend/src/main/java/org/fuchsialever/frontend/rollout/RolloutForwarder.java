package org.fuchsialever.frontend.rollout;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.frontend.RefusedException;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Forwards a trainer's request to the instance that holds the trainer's lease. A redirect would not
 * work, because behind a load balancer a trainer can reach only the address of the balancer. The
 * holder checks the caller's key again.
 */
final class RolloutForwarder {
    /** Marks a forwarded request, so that it is not forwarded again. */
    static final String FORWARDED = "X-Rollout-Forwarded";

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(75);
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final HttpClient mClient =
            HttpClient.create()
                    .option(
                            io.netty.channel.ChannelOption.CONNECT_TIMEOUT_MILLIS,
                            CONNECT_TIMEOUT_MILLIS)
                    .responseTimeout(RESPONSE_TIMEOUT);

    Mono<Void> forward(
            String holder, HttpServerRequest request, byte[] body, HttpServerResponse response) {
        return mClient.headers(
                        headers -> {
                            copy(request, headers, HttpHeaderNames.AUTHORIZATION.toString());
                            copy(request, headers, HttpHeaderNames.CONTENT_TYPE.toString());
                            headers.set(FORWARDED, "true");
                        })
                .request(HttpMethod.valueOf(request.method().name()))
                .uri("http://" + holder + request.uri())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .responseSingle(
                        (received, content) ->
                                content.asByteArray()
                                        .defaultIfEmpty(new byte[0])
                                        .map(
                                                bytes ->
                                                        new ForwardedResponse(
                                                                received.status().code(),
                                                                received.responseHeaders()
                                                                        .get("X-Not-Run"),
                                                                bytes)))
                .onErrorMap(
                        failure ->
                                new RefusedException(
                                        Refusal.of(
                                                RefusalReason.ROLLOUT_NOT_CONFIRMED,
                                                "the instance that acts for the trainer did not"
                                                        + " answer")))
                .flatMap(received -> received.write(response));
    }

    private static void copy(
            HttpServerRequest request, io.netty.handler.codec.http.HttpHeaders to, String name) {
        String value = request.requestHeaders().get(name);
        if (value != null) {
            to.set(name, value);
        }
    }

    private record ForwardedResponse(
            int status, @org.jspecify.annotations.Nullable String notRun, byte[] body) {

        Mono<Void> write(HttpServerResponse response) {
            response.status(status).header("Content-Type", "application/json");
            if (notRun != null) {
                response.header("X-Not-Run", notRun);
            }
            return response.sendByteArray(Mono.just(body)).then();
        }
    }
}
