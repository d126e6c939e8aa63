package org.fuchsialever.frontend.rollout;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.decisions.samples.JudgedSample;

/** Encodes samples as JSON for trainers. */
final class SampleJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private SampleJson() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ObjectNode page(SamplePage page) {
        ObjectNode body = object();
        ArrayNode samples = body.putArray("samples");
        long position = page.from();
        for (JudgedSample sample : page.samples()) {
            write(samples.addObject(), position, sample);
            position++;
        }
        body.put("cursor", page.cursor());
        return body;
    }

    private static void write(ObjectNode node, long position, JudgedSample judged) {
        node.put("position", position);
        node.put("step", judged.id().step());
        node.put("group", judged.id().group());
        node.put("index", judged.id().index());
        node.put("text", judged.sample().text());
        node.put("score", judged.score());
        ArrayNode ranges = node.putArray("ranges");
        for (TokenRange range : judged.sample().ranges()) {
            ranges.addObject()
                    .put("from", range.from())
                    .put("to", range.to())
                    .put("weight_version", range.version().number())
                    .put("upstream", range.upstream().value());
        }
        node.put("started_ms", judged.sample().startedMillis());
        node.put("finished_ms", judged.sample().finishedMillis());
    }
}
