package org.fuchsialever.decisions.samples;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Predicts the length of a sample from the longest sample seen for the same prompt. The longest is
 * used because a group lasts as long as its longest sample. Prompts are forgotten in order of their
 * last use.
 */
public final class LengthPredictor {
    private static final int PROMPTS = 10_000;
    private static final double WEIGHT_OF_NEWEST = 0.05;

    private final Map<Long, Integer> longest =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Integer> eldest) {
                    return size() > PROMPTS;
                }
            };
    private double typical;

    /** Takes note of the length of a sample in tokens. */
    public void observe(String prompt, int tokens) {
        longest.merge(key(prompt), tokens, Math::max);
        typical = typical == 0 ? tokens : typical + WEIGHT_OF_NEWEST * (tokens - typical);
    }

    /** Returns the expected length in tokens, or a typical length for an unknown prompt. */
    public int predict(String prompt) {
        Integer seen = longest.get(key(prompt));
        return seen == null ? (int) typical : seen;
    }

    /** Returns the moving average over all samples in tokens, or 0 before the first one. */
    public double averageTokens() {
        return typical;
    }

    private static long key(String prompt) {
        long hash = prompt.length();
        for (int i = 0; i < prompt.length(); i++) {
            hash = 31 * hash + prompt.charAt(i);
        }
        return hash;
    }
}
