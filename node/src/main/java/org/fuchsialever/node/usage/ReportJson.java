package org.fuchsialever.node.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.UsageKey;
import org.fuchsialever.decisions.usage.WindowReport;

/** Encodes usage reports as JSON. */
final class ReportJson implements WindowReport.Encoder {
    private final ObjectMapper mMapper = new ObjectMapper();

    @Override
    public String encode(WindowReport report) {
        ObjectNode root = mMapper.createObjectNode();
        root.put("window", report.window().label());
        root.set("totals", lines(report.totals()));
        ArrayNode corrections = root.putArray("corrections");
        report.corrections()
                .forEach(
                        (window, totals) -> {
                            ObjectNode correction = corrections.addObject();
                            correction.put("window", window.label());
                            correction.set("totals", lines(totals));
                        });
        try {
            return mMapper.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a usage report cannot be encoded", e);
        }
    }

    private ArrayNode lines(Map<UsageKey, UsageCounts> totals) {
        ArrayNode lines = mMapper.createArrayNode();
        totals.forEach(
                (key, used) -> {
                    ObjectNode line = lines.addObject();
                    line.put("team", key.team().value());
                    line.put("route", key.route().value());
                    line.put("class", key.usageClass().label());
                    put(line, "", used);
                    put(line, "charged_", key.usageClass().chargedToTeam(used));
                });
        return lines;
    }

    private static void put(ObjectNode line, String prefix, UsageCounts counts) {
        line.put(prefix + "requests", counts.requests());
        line.put(prefix + "prompt_tokens", counts.promptTokens());
        line.put(prefix + "generated_tokens", counts.generatedTokens());
    }
}
