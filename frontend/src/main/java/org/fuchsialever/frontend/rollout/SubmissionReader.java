package org.fuchsialever.frontend.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.Names;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.GroupSpec;
import org.fuchsialever.decisions.samples.Submission;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.frontend.RefusedException;

/** Reads submissions and cursors from JSON. */
final class SubmissionReader {
    private static final int MAX_GROUPS = 16_384;
    private static final int MAX_SAMPLES = 1_024;
    private static final int MAX_TOKENS = 1_000_000;
    private static final int MAX_STALENESS = 1_000;
    private static final long MAX_DEADLINE_MILLIS = TimeUnit.DAYS.toMillis(1);

    private final ObjectMapper mMapper = new ObjectMapper();

    /**
     * Reads a submission; the name of its object is empty until it is stored.
     *
     * @throws RefusedException with {@link RefusalReason#MALFORMED_BODY}
     */
    Submission submission(byte[] body, Route route, TeamName team) {
        JsonNode root = object(body);
        String trainer = name(root, "trainer");
        long deadline = number(root, "deadline_ms", 1, MAX_DEADLINE_MILLIS);
        return new Submission(
                new TrainerName(trainer),
                number(root, "step", 0, Long.MAX_VALUE),
                name(root, "model"),
                (int) number(root, "max_staleness", 0, MAX_STALENESS),
                TimeUnit.MILLISECONDS.toNanos(deadline),
                team,
                route.name(),
                groups(root.path("groups")),
                "");
    }

    /** Returns the cursor of an acknowledgement. */
    long cursor(byte[] body) {
        return number(object(body), "cursor", 0, Long.MAX_VALUE);
    }

    /** Returns a number from the values of a query parameter, or a default if it is absent. */
    static long query(String key, List<String> values, long defaultValue, long max) {
        if (values.isEmpty()) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(values.get(0));
            if (value >= 0 && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw malformed("\"" + key + "\" must be a number");
        }
        throw malformed("\"" + key + "\" must be a number from 0 to " + max);
    }

    private List<GroupSpec> groups(JsonNode array) {
        if (!array.isArray() || array.isEmpty() || array.size() > MAX_GROUPS) {
            throw malformed("\"groups\" must be a list of 1 to " + MAX_GROUPS + " groups");
        }
        List<GroupSpec> groups = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonNode entry : array) {
            String group = name(entry, "group");
            if (!names.add(group)) {
                throw malformed("group \"" + group + "\" occurs twice");
            }
            JsonNode prompt = entry.path("prompt");
            if (!prompt.isTextual() || prompt.asText().isEmpty()) {
                throw malformed("\"prompt\" must be a text");
            }
            groups.add(
                    new GroupSpec(
                            group,
                            prompt.asText(),
                            (int) number(entry, "samples", 1, MAX_SAMPLES),
                            (int) number(entry, "max_tokens", 1, MAX_TOKENS)));
        }
        return groups;
    }

    private JsonNode object(byte[] body) {
        JsonNode root;
        try {
            root = mMapper.readTree(body);
        } catch (IOException e) {
            throw malformed("the body is not valid JSON");
        }
        if (root == null || !root.isObject()) {
            throw malformed("the body must be a JSON object");
        }
        return root;
    }

    private static String name(JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (!value.isTextual() || !Names.isValid(value.asText())) {
            throw malformed("\"" + key + "\" must be a name of " + Names.RULE);
        }
        return value.asText();
    }

    private static long number(JsonNode node, String key, long min, long max) {
        JsonNode value = node.path(key);
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.asLong() < min
                || value.asLong() > max) {
            throw malformed("\"" + key + "\" must be a number from " + min + " to " + max);
        }
        return value.asLong();
    }

    static RefusedException malformed(String detail) {
        return new RefusedException(Refusal.of(RefusalReason.MALFORMED_BODY, detail));
    }
}
