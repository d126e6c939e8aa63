package org.fuchsialever.decisions.dispatch;

/**
 * Result of one attempt.
 *
 * @param result how the attempt ended
 * @param promptTokens prompt tokens that the upstream processed
 * @param generatedTokens tokens received in this attempt
 * @param firstByteNanos nanoseconds from sending the request to the first byte of the response; -1
 *     if none arrived
 * @param totalNanos nanoseconds from sending the request to the end of the attempt
 */
public record AttemptReport(
        AttemptResult result,
        int promptTokens,
        int generatedTokens,
        long firstByteNanos,
        long totalNanos) {}
