package org.fuchsialever.node.upstream;

import java.util.List;
import org.fuchsialever.frontend.HeaderField;

/** A part of an upstream's answer, in order of arrival. */
public sealed interface UpstreamPart {

    /**
     * The beginning of the answer.
     *
     * @param status the HTTP status
     * @param headers the header fields that are passed on
     */
    record Head(int status, List<HeaderField> headers) implements UpstreamPart {}

    /**
     * Content.
     *
     * @param bytes the bytes
     */
    record Content(byte[] bytes) implements UpstreamPart {}
}
