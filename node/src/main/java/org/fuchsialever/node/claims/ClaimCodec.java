package org.fuchsialever.node.claims;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import org.fuchsialever.decisions.claims.Claim;
import org.fuchsialever.decisions.claims.ObservedClaim;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.frontend.Call;
import org.fuchsialever.frontend.HeaderField;
import org.fuchsialever.services.Row;

/** Encodes and decodes claims and their outcomes. */
final class ClaimCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ClaimCodec() {}

    /** Returns the row key of a claim. Claims of different teams or routes never share a row. */
    static String rowKey(Call call, String key) {
        return call.caller().team()
                + "/"
                + call.route().name()
                + "/"
                + digest(key.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the digest of the method, URI and body of a call. */
    static String requestDigest(Call call) {
        byte[] target = (call.method() + " " + call.uri() + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] content = new byte[target.length + call.body().length];
        System.arraycopy(target, 0, content, 0, target.length);
        System.arraycopy(call.body(), 0, content, target.length, call.body().length);
        return digest(content);
    }

    static String encode(Claim claim) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("digest", claim.digest());
        node.put("deadline_ms", claim.deadlineMillis());
        claim.outcome().forEach(outcome -> node.put("outcome", outcome));
        return node.toString();
    }

    static ObservedClaim decode(Row row) {
        JsonNode node = parse(row.value());
        JsonNode outcome = node.path("outcome");
        Claim claim =
                new Claim(
                        node.path("digest").asText(),
                        node.path("deadline_ms").asLong(),
                        outcome.isTextual() ? Option.some(outcome.asText()) : Option.none());
        return new ObservedClaim(claim, row.version(), row.writer());
    }

    static String encode(StoredOutcome outcome) {
        ObjectNode node = MAPPER.createObjectNode();
        outcome.refusal().forEach(reason -> node.put("refusal", reason.name()));
        node.put("status", outcome.status());
        ArrayNode headers = node.putArray("headers");
        for (HeaderField field : outcome.headers()) {
            headers.addObject().put("name", field.name()).put("value", field.value());
        }
        outcome.objectName().forEach(name -> node.put("object", name));
        outcome.body().forEach(body -> node.put("body", Base64.getEncoder().encodeToString(body)));
        return node.toString();
    }

    static StoredOutcome decodeOutcome(String text) {
        JsonNode node = parse(text);
        List<HeaderField> headers = new ArrayList<>();
        for (JsonNode field : node.path("headers")) {
            headers.add(new HeaderField(field.path("name").asText(), field.path("value").asText()));
        }
        return new StoredOutcome(
                node.has("refusal")
                        ? Option.some(RefusalReason.valueOf(node.path("refusal").asText()))
                        : Option.none(),
                node.path("status").asInt(),
                headers,
                node.has("body")
                        ? Option.some(Base64.getDecoder().decode(node.path("body").asText()))
                        : Option.none(),
                node.has("object") ? Option.some(node.path("object").asText()) : Option.none());
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            throw new IllegalStateException("a claim row is not valid JSON", e);
        }
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
