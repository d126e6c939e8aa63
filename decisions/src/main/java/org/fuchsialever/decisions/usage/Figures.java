package org.fuchsialever.decisions.usage;

/** Numbers of requests and tokens that were used. */
public record Figures(long requests, long promptTokens, long generatedTokens) {
    /** No usage. */
    public static final Figures ZERO = new Figures(0, 0, 0);

    /** Returns the sum. */
    public Figures plus(Figures other) {
        return new Figures(
                requests + other.requests,
                promptTokens + other.promptTokens,
                generatedTokens + other.generatedTokens);
    }

    /** Returns the maximum of each count. Totals only grow, so the greater one is newer. */
    public Figures max(Figures other) {
        return new Figures(
                Math.max(requests, other.requests),
                Math.max(promptTokens, other.promptTokens),
                Math.max(generatedTokens, other.generatedTokens));
    }

    /** Returns by how much each count exceeds the other one, at least 0. */
    public Figures excessOver(Figures other) {
        return new Figures(
                Math.max(0, requests - other.requests),
                Math.max(0, promptTokens - other.promptTokens),
                Math.max(0, generatedTokens - other.generatedTokens));
    }
}
