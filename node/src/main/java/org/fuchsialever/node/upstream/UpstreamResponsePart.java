package org.fuchsialever.node.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.decisions.dispatch.stream.EngineChunk;
import org.fuchsialever.frontend.HeaderField;

/** A part of an upstream's answer, in order of arrival. */
public sealed interface UpstreamResponsePart {

    /**
     * The beginning of the answer.
     *
     * @param status the HTTP status
     * @param headers the header fields that are passed on
     */
    record Head(int status, List<HeaderField> headers) implements UpstreamResponsePart {}

    /**
     * Content that is passed on unread.
     *
     * @param bytes the bytes
     */
    record Content(byte[] bytes) implements UpstreamResponsePart {}

    /**
     * One event of an engine's stream.
     *
     * @param document the event as the engine sent it
     * @param chunk its token, or none if the event carries no token
     * @param promptTokens the prompt tokens that the engine states, or -1
     * @param completionTokens the generated tokens that the engine states, or -1
     */
    record EngineEvent(
            ObjectNode document, Option<EngineChunk> chunk, int promptTokens, int completionTokens)
            implements UpstreamResponsePart {}
}
