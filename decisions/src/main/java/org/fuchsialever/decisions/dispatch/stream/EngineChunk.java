package org.fuchsialever.decisions.dispatch.stream;

import io.vavr.control.Option;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * One token of a stream with the metadata that the engine sent.
 *
 * @param engineStartId ID of the engine process, if the engine sent one
 * @param version the weight version, if the engine sent one
 * @param tokenIndex index of the token in the complete response
 */
public record EngineChunk(
        Option<String> engineStartId, Option<WeightVersion> version, int tokenIndex, String text) {}
