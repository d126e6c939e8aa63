package org.fuchsialever.decisions.samples;

import java.util.List;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * A generated text with its provenance.
 *
 * @param text the text
 * @param ranges its token ranges with the versions that the engines stated
 * @param startedMillis wall-clock time of the start, in milliseconds since the epoch
 * @param finishedMillis wall-clock time of the end, in milliseconds since the epoch
 */
public record GeneratedSample(
        String text, List<TokenRange> ranges, long startedMillis, long finishedMillis) {

    /** Copies the ranges. */
    public GeneratedSample {
        ranges = List.copyOf(ranges);
    }

    /** Returns the oldest version that produced a token. */
    public WeightVersion oldest() {
        return ranges.stream().map(TokenRange::version).min(WeightVersion::compareTo).orElseThrow();
    }

    /** Returns the newest version that produced a token. */
    public WeightVersion newest() {
        return ranges.stream().map(TokenRange::version).max(WeightVersion::compareTo).orElseThrow();
    }

    /** Returns the number of tokens. */
    public int tokenCount() {
        return ranges.isEmpty() ? 0 : ranges.get(ranges.size() - 1).to();
    }

    /** Returns whether the ranges name a version for every token from the first to the last. */
    public boolean coversEveryToken() {
        int next = 0;
        for (TokenRange range : ranges) {
            if (range.from() != next) {
                return false;
            }
            next = range.to();
        }
        return next > 0;
    }
}
