package org.fuchsialever.services.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import org.fuchsialever.services.JudgeService;
import reactor.core.publisher.Mono;

/** The judge service over HTTP. */
final class HttpJudgeService implements JudgeService {
    private static final int OK = 200;

    private final InterfaceClient mClient;

    HttpJudgeService(InterfaceClient client) {
        mClient = client;
    }

    @Override
    public Mono<Double> judge(String sample, String prompt, String text) {
        ObjectNode body = InterfaceResponse.MAPPER.createObjectNode();
        body.put("sample", sample).put("prompt", prompt).put("text", text);
        return mClient.change(
                HttpMethod.POST,
                "/judge",
                body.toString().getBytes(StandardCharsets.UTF_8),
                response -> {
                    JsonNode score = response.status() == OK ? response.json().get("score") : null;
                    if (score == null || !score.isNumber()) {
                        throw response.unexpectedStatus();
                    }
                    return score.asDouble();
                });
    }
}
