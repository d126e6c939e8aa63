package org.fuchsialever.services.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * A whole HTTP answer.
 *
 * @param status the status code
 * @param body the content
 */
record HttpReply(int status, byte[] body) {
    static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the content as JSON; content that is not JSON is an unexpected answer. */
    JsonNode json() {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw new UnexpectedReplyException("the answer is not a JSON object", false);
            }
            return node;
        } catch (IOException e) {
            throw new UnexpectedReplyException("the answer is not JSON: " + e.getMessage(), false);
        }
    }

    /** Returns a text field of a JSON object that must be there. */
    static String text(JsonNode object, String field) {
        JsonNode value = object.get(field);
        if (value == null || !value.isTextual()) {
            throw new UnexpectedReplyException("text \"" + field + "\" is missing", false);
        }
        return value.asText();
    }

    /** Returns a whole number of a JSON object that must be there. */
    static long number(JsonNode object, String field) {
        JsonNode value = object.get(field);
        if (value == null || !value.canConvertToLong()) {
            throw new UnexpectedReplyException("number \"" + field + "\" is missing", false);
        }
        return value.asLong();
    }

    /** Returns a list of a JSON object that must be there. */
    static JsonNode list(JsonNode object, String field) {
        JsonNode value = object.get(field);
        if (value == null || !value.isArray()) {
            throw new UnexpectedReplyException("list \"" + field + "\" is missing", false);
        }
        return value;
    }

    /**
     * Returns the failure for a status that the protocol does not name. A 4xx status says that the
     * request was refused; after any other status the change may have taken effect.
     */
    UnexpectedReplyException unexpectedStatus() {
        return new UnexpectedReplyException("status " + status, status >= 400 && status < 500);
    }
}
