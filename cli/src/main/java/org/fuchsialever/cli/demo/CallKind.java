package org.fuchsialever.cli.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.fuchsialever.cli.standins.StandInFiles;
import org.fuchsialever.standins.EngineStandIn;

/** Kinds of calls that the callers of the demo make. */
enum CallKind {
    /** A completion whose answer is streamed. */
    STREAMED(true) {
        @Override
        String path(String name) {
            return "/v1/completions";
        }

        @Override
        String body(String name) {
            return model().put("prompt", prompt(name)).put("stream", true).toString();
        }

        @Override
        Verdict check(String name, String answer) throws IOException {
            if (!answer.endsWith("data: [DONE]\n\n")) {
                return Verdict.CUT;
            }
            StringBuilder text = new StringBuilder();
            long promptTokens = 0;
            for (String line : answer.split("\n")) {
                if (!line.startsWith(DATA) || line.equals(DATA + "[DONE]")) {
                    continue;
                }
                JsonNode chunk = MAPPER.readTree(line.substring(DATA.length()));
                text.append(chunk.at("/choices/0/text").asText());
                promptTokens += chunk.at("/usage/prompt_tokens").asLong();
            }
            return compare(text.toString(), prompt(name), promptTokens);
        }
    },

    /** A chat completion with a whole answer. */
    WHOLE(true) {
        @Override
        String path(String name) {
            return "/v1/chat/completions";
        }

        @Override
        String body(String name) {
            ObjectNode body = model();
            body.putArray("messages").addObject().put("role", "user").put("content", prompt(name));
            return body.toString();
        }

        @Override
        Verdict check(String name, String answer) throws IOException {
            JsonNode body = MAPPER.readTree(answer);
            return compare(
                    body.at("/choices/0/message/content").asText(),
                    prompt(name) + "\n",
                    body.at("/usage/prompt_tokens").asLong());
        }
    },

    /** A plain call that may be repeated. */
    STOCK(false) {
        @Override
        String path(String name) {
            return "/stock/" + name;
        }
    },

    /** A plain call that must not run twice. */
    BOOKING(false) {
        @Override
        String path(String name) {
            return "/booking/" + name;
        }
    };

    private static final int MAX_TOKENS = 320;
    private static final String DATA = "data: ";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final boolean mLive;

    CallKind(boolean live) {
        mLive = live;
    }

    /** Returns whether a model engine answers. */
    boolean isLive() {
        return mLive;
    }

    /** Returns the path of the call with this name. */
    abstract String path(String name);

    /** Returns the body of the call with this name. */
    String body(String name) {
        return "{\"record\":\"" + name + "\"}";
    }

    /**
     * Compares the body of an answer with status 200 with what the upstream must have sent.
     *
     * @throws IOException if the answer is not in the expected form
     */
    Verdict check(String name, String answer) throws IOException {
        return answer.equals(body(name)) ? new Verdict(true, 0, 0) : Verdict.CUT;
    }

    private static ObjectNode model() {
        return MAPPER.createObjectNode()
                .put("model", StandInFiles.MODEL)
                .put("max_tokens", MAX_TOKENS);
    }

    private static String prompt(String name) {
        return "@" + name + " continue";
    }

    private static Verdict compare(String text, String prompt, long promptTokens) {
        int tokens = Math.min(MAX_TOKENS, DemoDeployment.answerLength(prompt));
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            expected.append(EngineStandIn.tokenText(prompt, i));
        }
        return text.contentEquals(expected) ? new Verdict(true, promptTokens, tokens) : Verdict.CUT;
    }

    /**
     * What an answer contains.
     *
     * @param whole whether it is the complete answer to the call
     * @param promptTokens the tokens of the prompt, 0 for a plain call
     * @param answerTokens the tokens of the answer, 0 for a plain call
     */
    record Verdict(boolean whole, long promptTokens, long answerTokens) {
        static final Verdict CUT = new Verdict(false, 0, 0);
    }
}
