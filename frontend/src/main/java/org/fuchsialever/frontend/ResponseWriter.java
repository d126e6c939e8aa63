package org.fuchsialever.frontend;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import java.nio.charset.StandardCharsets;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes refusals and small JSON responses, and counts refusals by reason. */
public final class ResponseWriter {
    private static final String JSON = "application/json";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final MeterRegistry mMeters;

    /** Creates a writer whose refusals are counted in the given registry. */
    public ResponseWriter(MeterRegistry meters) {
        mMeters = meters;
        for (RefusalReason reason : RefusalReason.values()) {
            counter(reason);
        }
    }

    /** Writes a refusal as the response and counts it. */
    public Mono<Void> refuse(HttpServerResponse response, Refusal refusal, String requestId) {
        count(refusal.reason());
        boolean notRun = refusal.reason().outcome() == Outcome.NOT_RUN;
        response.status(HttpStatus.of(refusal.reason().kind()))
                .header("X-Request-Id", requestId)
                .header("X-Not-Run", Boolean.toString(notRun));
        if (!refusal.retryAfter().isZero()) {
            response.header("Retry-After", Long.toString(refusal.retryAfter().toSeconds()));
        }
        return json(response, errorBody(refusal, requestId));
    }

    /** Counts a refusal that is not written as a response of its own. */
    public void count(RefusalReason reason) {
        counter(reason).increment();
    }

    /** Encodes a refusal as JSON. */
    public static ObjectNode errorBody(Refusal refusal, String requestId) {
        ObjectNode body = MAPPER.createObjectNode();
        ObjectNode error = body.putObject("error");
        error.put("code", refusal.reason().code());
        error.put("message", message(refusal));
        error.put("not_run", refusal.reason().outcome() == Outcome.NOT_RUN);
        error.put("request_id", requestId);
        return body;
    }

    /** Writes a JSON document as the response; the status must have been set. */
    public static Mono<Void> json(HttpServerResponse response, ObjectNode body) {
        return response.header("Content-Type", JSON)
                .sendByteArray(Mono.just(body.toString().getBytes(StandardCharsets.UTF_8)))
                .then();
    }

    private io.micrometer.core.instrument.Counter counter(RefusalReason reason) {
        return mMeters.counter("fuchsialever.refusals", "reason", reason.code());
    }

    private static String message(Refusal refusal) {
        String text = refusal.reason().code().replace('-', ' ');
        return refusal.detail().isEmpty() ? text : text + ": " + refusal.detail();
    }
}
