package org.fuchsialever.decisions.usage;

/**
 * Amounts used.
 *
 * @param requests number of requests
 * @param promptTokens number of prompt tokens
 * @param generatedTokens number of generated tokens
 */
public record UsageCounts(long requests, long promptTokens, long generatedTokens) {
    /** Nothing used. */
    public static final UsageCounts ZERO = new UsageCounts(0, 0, 0);

    /** Returns the sum. */
    public UsageCounts plus(UsageCounts other) {
        return new UsageCounts(
                requests + other.requests,
                promptTokens + other.promptTokens,
                generatedTokens + other.generatedTokens);
    }

    /** Returns the greater of each amount; totals only grow, so the greater one is the newer. */
    public UsageCounts max(UsageCounts other) {
        return new UsageCounts(
                Math.max(requests, other.requests),
                Math.max(promptTokens, other.promptTokens),
                Math.max(generatedTokens, other.generatedTokens));
    }

    /** Returns by how much each amount exceeds the other one, at least 0. */
    public UsageCounts excessOver(UsageCounts other) {
        return new UsageCounts(
                Math.max(0, requests - other.requests),
                Math.max(0, promptTokens - other.promptTokens),
                Math.max(0, generatedTokens - other.generatedTokens));
    }
}
