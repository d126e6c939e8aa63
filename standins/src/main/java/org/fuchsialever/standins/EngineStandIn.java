package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** A model engine that generates numbered words at a fixed rate. */
public final class EngineStandIn implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int DEFAULT_MAX_TOKENS = 16;

    private final Duration tokenInterval;
    private final String start;
    private final DisposableServer server;

    /**
     * Starts the engine on a free loopback port.
     *
     * @param start identity of this start of the engine
     * @param tokenInterval time between two tokens of a stream
     */
    public EngineStandIn(String start, Duration tokenInterval) {
        this.start = start;
        this.tokenInterval = tokenInterval;
        this.server =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(0)
                        .route(
                                routes ->
                                        routes.post("/v1/completions", this::complete)
                                                .post("/v1/chat/completions", this::complete))
                        .bindNow();
    }

    /** Returns the TCP port. */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.disposeNow();
    }

    private Mono<Void> complete(HttpServerRequest request, HttpServerResponse response) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .flatMap(
                        body -> {
                            JsonNode call = parse(body);
                            int tokens = call.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
                            return call.path("stream").asBoolean(false)
                                    ? stream(response, tokens)
                                    : whole(response, tokens);
                        });
    }

    private Mono<Void> stream(HttpServerResponse response, int tokens) {
        Flux<byte[]> chunks =
                Flux.range(0, tokens)
                        .delayElements(tokenInterval)
                        .map(index -> event(chunk(index, tokens).toString()))
                        .concatWithValues(event("[DONE]"));
        return response.header("Content-Type", "text/event-stream")
                .send(chunks.map(Unpooled::wrappedBuffer), chunk -> true)
                .then();
    }

    private Mono<Void> whole(HttpServerResponse response, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(word(i));
        }
        ObjectNode answer = MAPPER.createObjectNode();
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0).put("text", text.toString()).put("finish_reason", "length");
        describe(answer, 0, tokens);
        byte[] body = answer.toString().getBytes(StandardCharsets.UTF_8);
        return response.header("Content-Type", "application/json")
                .sendByteArray(Mono.just(body).delayElement(tokenInterval.multipliedBy(tokens)))
                .then();
    }

    private ObjectNode chunk(int index, int tokens) {
        ObjectNode chunk = MAPPER.createObjectNode();
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0).put("text", word(index));
        describe(chunk, index, index == tokens - 1 ? tokens : 0);
        return chunk;
    }

    private void describe(ObjectNode answer, int tokenIndex, int generated) {
        ObjectNode engine = answer.putObject("engine");
        engine.put("start", start).put("weight_version", 0).put("token_index", tokenIndex);
        if (generated > 0) {
            answer.putObject("usage").put("prompt_tokens", 1).put("completion_tokens", generated);
        }
    }

    private static String word(int index) {
        return "w" + index + " ";
    }

    private static byte[] event(String data) {
        return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        }
    }
}
