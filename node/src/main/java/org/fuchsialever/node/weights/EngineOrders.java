package org.fuchsialever.node.weights;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.weights.LoadCommand;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Sends orders to engines, each on a connection of its own. */
final class EngineOrders {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final String STALE = "stale_fencing";

    /** An engine answers after it has loaded. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client =
            HttpClient.newConnection()
                    .disableRetry(true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);

    Mono<CommandResult> send(
            UpstreamSpec engine,
            IntentAction.SendCommand<LoadCommand> order,
            BooleanSupplier stillHolding) {
        byte[] body = body(order);
        return Mono.defer(
                () -> {
                    AtomicReference<Gate> gate = new AtomicReference<>(Gate.WAITING);
                    return client.headers(headers -> headers.set("Content-Length", body.length))
                            .post()
                            .uri(uri(engine))
                            .send(
                                    (request, outbound) ->
                                            open(gate, stillHolding)
                                                    ? outbound.sendByteArray(Mono.just(body))
                                                    : Mono.error(new IOException("not written")))
                            .responseSingle(
                                    (response, content) ->
                                            content.asString(StandardCharsets.UTF_8)
                                                    .defaultIfEmpty("")
                                                    .map(
                                                            text ->
                                                                    result(
                                                                            response.status()
                                                                                    .code(),
                                                                            text)))
                            .timeout(ANSWER_TIMEOUT)
                            .onErrorResume(failure -> Mono.just(resultWithoutAnswer(gate)));
                });
    }

    /** Decides once whether the order is written; a timeout before that closes the gate. */
    private static boolean open(AtomicReference<Gate> gate, BooleanSupplier stillHolding) {
        return stillHolding.getAsBoolean() && gate.compareAndSet(Gate.WAITING, Gate.WRITING);
    }

    private static CommandResult resultWithoutAnswer(AtomicReference<Gate> gate) {
        return gate.compareAndSet(Gate.WAITING, Gate.ABANDONED)
                ? CommandResult.NOT_SENT
                : CommandResult.UNKNOWN;
    }

    private static CommandResult result(int status, String text) {
        if (status == OK) {
            return CommandResult.DONE;
        }
        return status == CONFLICT && text.contains(STALE)
                ? CommandResult.STALE_FENCING
                : CommandResult.FAILED;
    }

    private static byte[] body(IntentAction.SendCommand<LoadCommand> order) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("order", order.intent().id())
                .put("fencing", order.fencing())
                .put("action", "load_version")
                .put("version", order.intent().command().version().number());
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String uri(UpstreamSpec engine) {
        String address = engine.address();
        String host = address.contains(":") ? "[" + address + "]" : address;
        return "http://" + host + ":" + engine.port() + "/engine/orders";
    }

    private enum Gate {
        WAITING,
        WRITING,
        ABANDONED
    }
}
