package org.fuchsialever.frontend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import org.fuchsialever.decisions.dispatch.RefusalReason;

/** Reads the size and form of a model call from its JSON body. */
final class ModelCallReader {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS = 1_000_000;
    private static final int PREFIX_CHARACTERS = 256;
    private static final long HASH_SEED = 1_125_899_906_842_597L;

    private final ObjectMapper mMapper = new ObjectMapper();

    Either<Refusal, CallShape> read(byte[] body) {
        JsonNode root;
        try {
            root = mMapper.readTree(body);
        } catch (IOException e) {
            return malformed("the body is not valid JSON");
        }
        if (root == null || !root.isObject()) {
            return malformed("the body must be a JSON object");
        }
        if (!root.has("messages") && !root.has("prompt")) {
            return malformed("\"messages\" or \"prompt\" is required");
        }
        JsonNode maxTokens = root.path("max_tokens");
        if (!maxTokens.isMissingNode()
                && (!maxTokens.canConvertToInt()
                        || maxTokens.asInt() < 1
                        || maxTokens.asInt() > MAX_TOKENS)) {
            return malformed("\"max_tokens\" must be a number from 1 to " + MAX_TOKENS);
        }
        if (root.path("n").asInt(1) != 1) {
            return malformed("only one choice can be generated; \"n\" must be 1");
        }
        String prompt = prompt(root);
        return Either.right(
                new CallShape(
                        root.path("stream").asBoolean(false),
                        prompt.length() / CHARACTERS_PER_TOKEN + 1,
                        maxTokens.asInt(DEFAULT_MAX_TOKENS),
                        prefixHash(prompt)));
    }

    /** Returns a valid JSON body without unnecessary escapes. */
    byte[] canonical(byte[] body) {
        try {
            return mMapper.writeValueAsBytes(mMapper.readTree(body));
        } catch (IOException e) {
            return body;
        }
    }

    private static String prompt(JsonNode root) {
        if (root.has("prompt")) {
            return root.path("prompt").asText();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : root.path("messages")) {
            text.append(message.path("role").asText()).append(':');
            text.append(message.path("content").asText()).append('\n');
        }
        return text.toString();
    }

    private static long prefixHash(String prompt) {
        long hash = HASH_SEED;
        int end = Math.min(prompt.length(), PREFIX_CHARACTERS);
        for (int i = 0; i < end; i++) {
            hash = 31 * hash + prompt.charAt(i);
        }
        return hash;
    }

    private static Either<Refusal, CallShape> malformed(String detail) {
        return Either.left(Refusal.of(RefusalReason.MALFORMED_BODY, detail));
    }
}
