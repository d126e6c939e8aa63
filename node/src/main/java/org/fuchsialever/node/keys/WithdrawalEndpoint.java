package org.fuchsialever.node.keys;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.time.Duration;
import java.util.function.Predicate;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.Names;
import org.fuchsialever.frontend.Endpoint;
import org.fuchsialever.frontend.RefusedException;
import org.fuchsialever.frontend.RequestBodies;
import org.fuchsialever.frontend.ResponseWriter;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Accepts withdrawals from operators; responds with 200 once this instance refuses the key. */
final class WithdrawalEndpoint implements Endpoint {
    private static final String PATH = "/operator/withdrawals";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final long MAX_BODY_BYTES = 4_096;
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final InstanceId mInstance;
    private final KeyViews mViews;
    private final Predicate<KeyId> mWithdraw;

    /**
     * Creates the endpoint.
     *
     * @param views signals when a withdrawal is in force
     * @param withdraw passes a withdrawal to the key duty; false if its ring is full
     */
    WithdrawalEndpoint(InstanceId instance, KeyViews views, Predicate<KeyId> withdraw) {
        mInstance = instance;
        mViews = views;
        mWithdraw = withdraw;
    }

    @Override
    public boolean accepts(String method, String path) {
        return method.equals("POST") && path.equals(PATH);
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return RequestBodies.read(request, MAX_BODY_BYTES)
                .map(WithdrawalEndpoint::key)
                .onErrorReturn(RefusedException.class, Option.none())
                .flatMap(
                        key ->
                                key.isEmpty()
                                        ? respond(response, BAD_REQUEST, "")
                                        : withdraw(response, key.get()));
    }

    private Mono<Void> withdraw(HttpServerResponse response, KeyId key) {
        if (!mWithdraw.test(key)) {
            return respond(response, UNAVAILABLE, key.value());
        }
        return mViews.whenWithdrawn(key)
                .thenReturn(OK)
                .timeout(CONFIRMATION_TIMEOUT)
                .onErrorReturn(UNAVAILABLE)
                .flatMap(status -> respond(response, status, key.value()));
    }

    private Mono<Void> respond(HttpServerResponse response, int status, String key) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("instance", mInstance.value()).put("key", key).put("withdrawn", status == OK);
        return ResponseWriter.json(response.status(status), body);
    }

    private static Option<KeyId> key(byte[] body) {
        return Try.of(() -> MAPPER.readTree(body))
                .toOption()
                .map((JsonNode json) -> json.path("key").asText())
                .filter(Names::isValid)
                .map(KeyId::new);
    }
}
