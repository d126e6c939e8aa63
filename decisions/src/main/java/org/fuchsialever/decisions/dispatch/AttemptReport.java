package org.fuchsialever.decisions.dispatch;

/**
 * End of one attempt.
 *
 * @param result how it ended
 * @param promptTokens prompt tokens that the upstream processed
 * @param generatedTokens tokens of this attempt that arrived
 * @param firstByteNanos time from sending to the first byte of the answer; -1 if none arrived
 * @param totalNanos time from sending to the end
 */
public record AttemptReport(
        AttemptResult result,
        int promptTokens,
        int generatedTokens,
        long firstByteNanos,
        long totalNanos) {}
