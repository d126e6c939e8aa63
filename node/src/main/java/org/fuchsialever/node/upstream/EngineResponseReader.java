package org.fuchsialever.node.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.stream.EngineChunk;
import org.fuchsialever.decisions.model.WeightVersion;
import reactor.core.publisher.Flux;

/** Reads the responses of engines. */
final class EngineResponseReader {
    private static final int MAX_EVENT_BYTES = 256 * 1_024;
    private static final int MAX_ERROR_BYTES = 64 * 1_024;
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MIN_SERVER_ERROR = 500;
    private static final String END_OF_STREAM = "[DONE]";
    private static final String NOT_ADMITTED = "not_admitted";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineResponseReader() {}

    /** Reads the body of a response whose head was received. */
    static Flux<UpstreamResponsePart> read(
            UpstreamResponsePart.Head head, boolean eventStream, Flux<byte[]> content) {
        if (head.status() == OK && eventStream) {
            return Flux.concat(Flux.just(head), Flux.defer(() -> new Stream().events(content)));
        }
        return content.collect(ByteArrayOutputStream::new, EngineResponseReader::append)
                .map(ByteArrayOutputStream::toByteArray)
                .flatMapMany(body -> readWithoutStream(head, body));
    }

    private static void append(ByteArrayOutputStream buffer, byte[] chunk) {
        if (buffer.size() + chunk.length > MAX_ERROR_BYTES) {
            throw malformed(
                    "response without a stream is larger than " + MAX_ERROR_BYTES + " bytes");
        }
        buffer.writeBytes(chunk);
    }

    private static Flux<UpstreamResponsePart> readWithoutStream(
            UpstreamResponsePart.Head head, byte[] body) {
        int status = head.status();
        boolean mayBeNotAdmitted = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
        if (mayBeNotAdmitted && NOT_ADMITTED.equals(errorCode(body))) {
            return Flux.error(
                    new UpstreamException(
                            AttemptResult.NOT_ADMITTED, "the engine did not admit the request"));
        }
        if (mayBeNotAdmitted || status >= MIN_SERVER_ERROR) {
            return Flux.error(
                    new UpstreamException(
                            AttemptResult.UPSTREAM_ERROR, "the engine answered " + status));
        }
        if (status == OK) {
            return Flux.error(malformed("the engine sent a response without a stream"));
        }
        return Flux.just(head, new UpstreamResponsePart.Content(body));
    }

    private static String errorCode(byte[] body) {
        try {
            JsonNode root = MAPPER.readTree(body);
            return root == null ? "" : root.path("error").path("code").asText();
        } catch (IOException e) {
            return "";
        }
    }

    private static UpstreamException malformed(String message) {
        return new UpstreamException(AttemptResult.MALFORMED_ANSWER, message);
    }

    /** The events of one stream. A stream that ends without its end marker is a lost connection. */
    private static final class Stream {
        private final EventStreamParser mParser = new EventStreamParser(MAX_EVENT_BYTES);
        private boolean mEnded;

        Flux<UpstreamResponsePart> events(Flux<byte[]> content) {
            return content.flatMapIterable(this::parse, 1).concatWith(Flux.defer(this::end));
        }

        private Flux<UpstreamResponsePart> end() {
            return mEnded
                    ? Flux.empty()
                    : Flux.error(
                            new UpstreamException(
                                    AttemptResult.CONNECTION_LOST,
                                    "the stream ended without its end marker"));
        }

        private List<UpstreamResponsePart> parse(byte[] bytes) {
            List<UpstreamResponsePart> parts = new ArrayList<>();
            for (String data : mParser.feed(bytes)) {
                if (data.equals(END_OF_STREAM)) {
                    mEnded = true;
                } else if (!mEnded) {
                    parts.add(event(data));
                }
            }
            return parts;
        }

        private static UpstreamResponsePart event(String data) {
            JsonNode root;
            try {
                root = MAPPER.readTree(data);
            } catch (IOException e) {
                throw malformed("an event is not valid JSON");
            }
            if (!(root instanceof ObjectNode document)) {
                throw malformed("an event is not a JSON object");
            }
            if (document.has("error")) {
                throw new UpstreamException(
                        AttemptResult.UPSTREAM_ERROR, "the engine reported an error");
            }
            JsonNode usage = document.path("usage");
            return new UpstreamResponsePart.EngineEvent(
                    document,
                    chunk(document),
                    usage.path("prompt_tokens").asInt(-1),
                    usage.path("completion_tokens").asInt(-1));
        }

        private static Option<EngineChunk> chunk(ObjectNode document) {
            JsonNode choice = document.path("choices").path(0);
            JsonNode text =
                    choice.has("text") ? choice.path("text") : choice.path("delta").path("content");
            if (!text.isTextual()) {
                return Option.none();
            }
            JsonNode engine = document.path("engine");
            JsonNode index = engine.path("token_index");
            if (!index.canConvertToInt() || index.asInt() < 0) {
                throw malformed("an event has no valid token index");
            }
            JsonNode startId = engine.path("start");
            JsonNode version = engine.path("weight_version");
            boolean hasVersion = version.canConvertToLong() && version.asLong() >= 0;
            return Option.some(
                    new EngineChunk(
                            startId.isTextual() ? Option.some(startId.asText()) : Option.none(),
                            hasVersion
                                    ? Option.some(new WeightVersion(version.asLong()))
                                    : Option.none(),
                            index.asInt(),
                            text.asText()));
        }
    }
}
