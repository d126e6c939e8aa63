package org.fuchsialever.node.generation;

import java.util.List;
import org.fuchsialever.decisions.model.TokenRange;

/**
 * A generated text.
 *
 * @param ranges its token ranges in order, without gaps, each with the version that the engine
 *     stated for it
 * @param promptTokens prompt tokens that engines processed, over all attempts
 * @param generatedTokens tokens that engines generated, over all attempts
 */
public record Generation(
        String text, List<TokenRange> ranges, int promptTokens, int generatedTokens) {

    /** Copies the ranges. */
    public Generation {
        ranges = List.copyOf(ranges);
    }
}
