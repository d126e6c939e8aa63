package org.fuchsialever.soak;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.fuchsialever.platform.ManifestText;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Calls instances and keeps connections open as long as the instances do. */
final class Caller implements AutoCloseable {
    /** Longer than the time limit of each call, so that an instance answers first. */
    private static final Duration PATIENCE = Duration.ofSeconds(5);

    static final long DEADLINE_MILLIS = 3_000;

    private final ConnectionProvider connections =
            ConnectionProvider.builder("soak").maxConnections(64).build();
    private final HttpClient client =
            HttpClient.create(connections).disableRetry(true).responseTimeout(PATIENCE);

    /** Returns the answer; status 0 stands for a connection that ended without one. */
    Mono<Answer> call(
            InstanceProgram instance, String method, String path, String id, String body) {
        return client.headers(
                        headers ->
                                headers.set("Host", ManifestText.HOST)
                                        .set("Request-Id", id)
                                        .set("Deadline-Ms", Long.toString(DEADLINE_MILLIS))
                                        .set("Authorization", "Bearer " + SoakWorld.KEY))
                .request(HttpMethod.valueOf(method))
                .uri("http://" + instance.entryLink().address() + path)
                .send(
                        (request, outbound) ->
                                outbound.sendByteArray(
                                        Mono.just(body.getBytes(StandardCharsets.UTF_8))))
                .responseSingle(
                        (response, content) ->
                                content.asString()
                                        .defaultIfEmpty("")
                                        .map(
                                                text ->
                                                        new Answer(
                                                                response.status().code(),
                                                                response.responseHeaders()
                                                                        .get("Response-Stamp", ""),
                                                                text)))
                .timeout(PATIENCE)
                .onErrorReturn(new Answer(0, "", ""));
    }

    @Override
    public void close() {
        connections.disposeLater().block();
    }

    /** An answer, or what stands for none. */
    record Answer(int status, String stamp, String body) {}
}
