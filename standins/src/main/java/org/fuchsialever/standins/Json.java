package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** JSON documents of the stand-ins. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Parses a document; text that is not JSON gives an empty object. */
    static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            return object();
        }
    }

    static ObjectNode error(String code) {
        ObjectNode body = object();
        body.putObject("error").put("code", code).put("message", code.replace('_', ' '));
        return body;
    }
}
