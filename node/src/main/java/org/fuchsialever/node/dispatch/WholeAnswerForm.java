package org.fuchsialever.node.dispatch;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.frontend.CallResponse;
import org.fuchsialever.frontend.HeaderField;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.node.upstream.UpstreamResponsePart;
import reactor.core.publisher.Flux;

/** Assembles the answer to a call that did not ask for a stream. */
final class WholeAnswerForm implements CollectingTarget.Form<CallResponse> {
    private static final int OK = 200;

    @Override
    public Either<Refusal, CallResponse> whole(
            ObjectNode last, String text, AnswerTarget.Summary summary) {
        ObjectNode document = last.deepCopy();
        if (document.path("choices").path(0) instanceof ObjectNode choice) {
            if (choice.has("delta")) {
                choice.remove("delta");
                choice.putObject("message").put("role", "assistant").put("content", text);
            } else {
                choice.put("text", text);
            }
        }
        describeTokens(document, summary.ranges());
        byte[] body = document.toString().getBytes(StandardCharsets.UTF_8);
        return Either.right(
                new CallResponse(
                        OK,
                        List.of(new HeaderField("content-type", "application/json")),
                        Flux.just(body)));
    }

    @Override
    public Either<Refusal, CallResponse> unread(UpstreamResponsePart.Head head, byte[] content) {
        return Either.right(new CallResponse(head.status(), head.headers(), Flux.just(content)));
    }

    /** States each version that produced tokens, because a resumed answer may have several. */
    private static void describeTokens(ObjectNode document, List<TokenRange> ranges) {
        if (document.get("engine") instanceof ObjectNode engine) {
            engine.put("token_index", 0);
        }
        ArrayNode array = document.putArray("ranges");
        for (TokenRange range : ranges) {
            array.addObject()
                    .put("from", range.from())
                    .put("to", range.to())
                    .put("weight_version", range.version().number());
        }
    }
}
