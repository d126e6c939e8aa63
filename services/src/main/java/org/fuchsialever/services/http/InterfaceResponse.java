package org.fuchsialever.services.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** A complete HTTP response. */
record InterfaceResponse(int status, byte[] body) {
    static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the body as a JSON object; any other content is an unexpected response. */
    JsonNode json() {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw new UnexpectedResponseException("the response is not a JSON object", false);
            }
            return node;
        } catch (IOException e) {
            throw new UnexpectedResponseException(
                    "the response is not JSON: " + e.getMessage(), false);
        }
    }

    /** Returns a required text field of a JSON object. */
    static String text(JsonNode object, String field) {
        JsonNode value = object.get(field);
        if (value == null || !value.isTextual()) {
            throw new UnexpectedResponseException("text \"" + field + "\" is missing", false);
        }
        return value.asText();
    }

    /** Returns a required integer field of a JSON object. */
    static long number(JsonNode object, String field) {
        JsonNode value = object.get(field);
        if (value == null || !value.canConvertToLong()) {
            throw new UnexpectedResponseException("number \"" + field + "\" is missing", false);
        }
        return value.asLong();
    }

    /** Returns a required array field of a JSON object. */
    static JsonNode list(JsonNode object, String field) {
        JsonNode value = object.get(field);
        if (value == null || !value.isArray()) {
            throw new UnexpectedResponseException("list \"" + field + "\" is missing", false);
        }
        return value;
    }

    /**
     * Returns the failure for a status that the protocol does not define. A 4xx status means that
     * the request was refused; after any other status the change may have taken effect.
     */
    UnexpectedResponseException unexpectedStatus() {
        return new UnexpectedResponseException("status " + status, status >= 400 && status < 500);
    }
}
