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

/** Takes withdrawals from operators; answers 200 when this instance refuses the key. */
final class WithdrawalEndpoint implements Endpoint {
    private static final String PATH = "/operator/withdrawals";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final long BODY_LIMIT_BYTES = 4_096;
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final InstanceId instance;
    private final KeyViews views;
    private final Predicate<KeyId> withdraw;

    /**
     * Creates the endpoint.
     *
     * @param instance this instance
     * @param views tells when a withdrawal is in force
     * @param withdraw hands a withdrawal to the key duty; false if its ring buffer is full
     */
    WithdrawalEndpoint(InstanceId instance, KeyViews views, Predicate<KeyId> withdraw) {
        this.instance = instance;
        this.views = views;
        this.withdraw = withdraw;
    }

    @Override
    public boolean accepts(String method, String path) {
        return method.equals("POST") && path.equals(PATH);
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return RequestBodies.read(request, BODY_LIMIT_BYTES)
                .map(WithdrawalEndpoint::key)
                .onErrorReturn(RefusedException.class, Option.none())
                .flatMap(
                        key ->
                                key.isEmpty()
                                        ? answer(response, BAD_REQUEST, "")
                                        : withdraw(response, key.get()));
    }

    private Mono<Void> withdraw(HttpServerResponse response, KeyId key) {
        if (!withdraw.test(key)) {
            return answer(response, UNAVAILABLE, key.value());
        }
        return views.whenWithdrawn(key)
                .thenReturn(OK)
                .timeout(CONFIRMATION_TIMEOUT)
                .onErrorReturn(UNAVAILABLE)
                .flatMap(status -> answer(response, status, key.value()));
    }

    private Mono<Void> answer(HttpServerResponse response, int status, String key) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("instance", instance.value()).put("key", key).put("withdrawn", status == OK);
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
