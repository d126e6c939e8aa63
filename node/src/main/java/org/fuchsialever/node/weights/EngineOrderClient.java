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
import org.fuchsialever.services.body.BodyMemory;
import org.fuchsialever.services.exchange.ResponseStatus;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/** Sends load orders to engines, each over its own connection. */
final class EngineOrderClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final String STALE_FENCING = "stale_fencing";

    /** Covers the load itself: an engine responds only after it has loaded the version. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    /** A response is a status and an error code. */
    private static final int MAX_RESPONSE_BYTES = 64 * 1_024;

    private final BodyMemory mMemory = BodyMemory.ofHeap();
    private final HttpClient mClient =
            HttpClient.newConnection()
                    .disableRetry(true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);

    Mono<CommandResult> send(
            UpstreamSpec engine,
            IntentAction.SendCommand<LoadCommand> command,
            BooleanSupplier stillHolding) {
        byte[] body = body(command);
        return Mono.defer(
                () -> {
                    AtomicReference<WriteState> state = new AtomicReference<>(WriteState.WAITING);
                    return mClient.headers(headers -> headers.set("Content-Length", body.length))
                            .post()
                            .uri(uri(engine))
                            .send(
                                    (request, outbound) ->
                                            startWriting(state, stillHolding)
                                                    ? outbound.sendByteArray(Mono.just(body))
                                                    : Mono.error(
                                                            new IOException(
                                                                    "order not written: lease lost"
                                                                        + " or request timed out")))
                            .response(
                                    (response, content) ->
                                            ResponseStatus.valid(response.status().code())
                                                    .flatMap(status -> result(status, content)))
                            .single()
                            .timeout(RESPONSE_TIMEOUT)
                            .onErrorResume(failure -> Mono.just(resultWithoutResponse(state)));
                });
    }

    /** Returns whether the order may be written: once, and not after a timeout. */
    private static boolean startWriting(
            AtomicReference<WriteState> state, BooleanSupplier stillHolding) {
        return stillHolding.getAsBoolean()
                && state.compareAndSet(WriteState.WAITING, WriteState.WRITING);
    }

    private static CommandResult resultWithoutResponse(AtomicReference<WriteState> state) {
        return state.compareAndSet(WriteState.WAITING, WriteState.ABANDONED)
                ? CommandResult.NOT_SENT
                : CommandResult.UNKNOWN;
    }

    private Mono<CommandResult> result(int status, ByteBufFlux content) {
        return mMemory.read(content.asByteArray(), MAX_RESPONSE_BYTES)
                .map(body -> result(status, new String(body, StandardCharsets.UTF_8)));
    }

    private static CommandResult result(int status, String text) {
        if (status == OK) {
            return CommandResult.DONE;
        }
        return status == CONFLICT && text.contains(STALE_FENCING)
                ? CommandResult.STALE_FENCING
                : CommandResult.FAILED;
    }

    private static byte[] body(IntentAction.SendCommand<LoadCommand> command) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("order", command.intent().id())
                .put("fencing", command.fencing())
                .put("action", "load_version")
                .put("version", command.intent().command().version().number());
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String uri(UpstreamSpec engine) {
        String address = engine.address();
        String host = address.contains(":") ? "[" + address + "]" : address;
        return "http://" + host + ":" + engine.port() + "/engine/orders";
    }

    private enum WriteState {
        WAITING,
        WRITING,
        ABANDONED
    }
}
