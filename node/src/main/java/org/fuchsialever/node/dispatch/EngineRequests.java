package org.fuchsialever.node.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.node.generation.GenerationRequest;

/** Builds request bodies for engines. */
final class EngineRequests {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineRequests() {}

    /**
     * Returns a caller's body with the fields that this instance sets: it always requests a stream,
     * because only a stream can be resumed, and overwrites the priority, which callers may not
     * choose.
     */
    static byte[] body(byte[] callerBody, int priority, int resumeFrom) {
        JsonNode root;
        try {
            root = MAPPER.readTree(callerBody);
        } catch (IOException e) {
            throw new IllegalArgumentException("request body is not a JSON object", e);
        }
        if (!(root instanceof ObjectNode document)) {
            throw new IllegalArgumentException("request body is not a JSON object");
        }
        document.put("stream", true);
        document.put("priority", priority);
        document.remove("resume_from");
        if (resumeFrom > 0) {
            document.put("resume_from", resumeFrom);
        }
        return document.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the request body for generating a sample. */
    static byte[] body(GenerationRequest request) {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("prompt", request.prompt());
        document.put("max_tokens", request.maxTokens());
        return document.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the request ID of an attempt at an engine. Each later attempt has its own ID, so that
     * a late cancellation of one attempt cannot end the next one.
     */
    static RequestId attemptId(RequestId request, int attempt) {
        return attempt == 1 ? request : new RequestId(request.value() + "-" + attempt);
    }
}
