package org.fuchsialever.decisions.dispatch.stream;

import io.vavr.control.Option;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * One token of a stream with what the engine stated about it.
 *
 * @param engineStartId identity of the engine start, if the engine stated one
 * @param version the weight version, if the engine stated one
 * @param tokenIndex position of the token in the whole answer
 * @param text the text of the token
 */
public record EngineChunk(
        Option<String> engineStartId, Option<WeightVersion> version, int tokenIndex, String text) {}
