package org.fuchsialever.node.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.decisions.dispatch.stream.EngineChunk;
import org.fuchsialever.frontend.HeaderField;

/** A part of an upstream's response, in order of arrival. */
public sealed interface UpstreamResponsePart {

    /**
     * The response head.
     *
     * @param status the HTTP status code
     * @param headers the header fields that are forwarded to the caller
     */
    record Head(int status, List<HeaderField> headers) implements UpstreamResponsePart {}

    /** Content that is forwarded without being parsed. */
    record Content(byte[] bytes) implements UpstreamResponsePart {}

    /**
     * One event of an engine's stream.
     *
     * @param document the event as the engine sent it
     * @param chunk its token, or none if the event carries no token
     * @param promptTokens the number of prompt tokens that the engine reports, or -1
     * @param completionTokens the number of generated tokens that the engine reports, or -1
     */
    record EngineEvent(
            ObjectNode document, Option<EngineChunk> chunk, int promptTokens, int completionTokens)
            implements UpstreamResponsePart {}
}
