package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Manifest, requests and submissions of the small deployment that the scripts use. */
final class Site {
    static final String HOST = "ficu95.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String MODEL = "daka510000";
    static final String PLAIN = "order-desk";
    static final String ENGINES = "model-farm";

    private Site() {}

    static ObjectNode route(String prefix, String kind, String service, long timeoutMillis,
            long targetMillis, int attempts) {
        return Store.MAPPER
                .createObjectNode()
                .put("name", "r" + prefix.replace("/", "-"))
                .put("hostname", HOST)
                .put("pathPrefix", prefix)
                .put("kind", kind)
                .put("timeoutMs", timeoutMillis)
                .put("targetLatencyMs", targetMillis)
                .put("priority", 1)
                .put("service", service)
                .put("maxAttempts", attempts)
                .put("public", false);
    }

    static ObjectNode manifest(long version, ObjectNode... routes) {
        ObjectNode manifest = Store.MAPPER.createObjectNode().put("version", version);
        ArrayNode list = manifest.putArray("routes");
        List.of(routes).forEach(list::add);
        ArrayNode services = manifest.putArray("services");
        ObjectNode engines = services.addObject().put("name", ENGINES)
                .put("healthPath", "/healthz").put("maxConns", 130).put("protocol", "h1")
                .put("tls", false);
        engines.putObject("engine").put("slots", 8).put("kvCapacity", 95852)
                .putArray("models").addObject().put("name", MODEL);
        services.addObject().put("name", PLAIN).put("healthPath", "/healthz").put("maxConns", 96)
                .put("protocol", "h1").put("tls", false);
        manifest.putObject("limits").put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 33_554_432).put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
        manifest.putArray("tenants").addObject().put("name", "huka270").put("priority", 1)
                .putArray("apiKeys").add(KEY);
        return manifest;
    }

    static ObjectNode rollout(String prefix) {
        return route(prefix, "rollout", ENGINES, 10_000, 500, 3)
                .put("runDueMs", 7_500).put("maxWaitS", 40);
    }

    static ObjectNode reward(String prefix) {
        return route(prefix, "safe", PLAIN, 3_000, 800, 4).put("public", true);
    }

    static Map<String, String> fields(String id, long deadlineMillis) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", HOST);
        fields.put("Request-Id", id);
        if (deadlineMillis > 0) {
            fields.put("Deadline-Ms", Long.toString(deadlineMillis));
        }
        fields.put("Authorization", "Bearer " + KEY);
        return fields;
    }

    /** A submission of items with a reward call each, in groups of four. */
    static byte[] submission(int step, long minVersion, int targetGroups, List<String> items)
            throws IOException {
        ObjectNode body = Store.MAPPER.createObjectNode().put("step", step).put("model", MODEL)
                .put("minVersion", minVersion).put("targetCount", targetGroups);
        ArrayNode requests = body.putArray("requests");
        int number = 0;
        for (String item : items) {
            ObjectNode request = requests.addObject().put("id", item)
                    .put("path", "/pule252/" + step + "/" + item);
            request.putObject("headers").put("Model", MODEL).put("Token-Usage", "1016,400");
            request.put("body", Base64.getEncoder().encodeToString(
                            ("prompt of " + item).getBytes(StandardCharsets.UTF_8)))
                    .put("tokenCount", 1_416).put("group", "g" + number++ / 4);
            request.putObject("scorer").put("id", "s" + item).put("hostname", HOST)
                    .put("path", "/pufi791/" + item)
                    .put("body", Base64.getEncoder().encodeToString("judge".getBytes()));
        }
        return Store.MAPPER.writeValueAsBytes(body);
    }
}
