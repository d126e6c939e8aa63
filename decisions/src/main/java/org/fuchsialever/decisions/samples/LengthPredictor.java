package org.fuchsialever.decisions.samples;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Predicts the length of a sample from the longest sample seen for the same prompt. The maximum is
 * used because a group takes as long as its longest sample. The least recently used prompts are
 * evicted.
 */
public final class LengthPredictor {
    private static final int MAX_PROMPTS = 10_000;
    private static final double SMOOTHING = 0.05;

    private final Map<Long, Integer> mMaxTokensByPrompt =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Integer> eldest) {
                    return size() > MAX_PROMPTS;
                }
            };
    private double mAverageTokens;

    /** Records the length of a sample in tokens. */
    public void observe(String prompt, int tokens) {
        mMaxTokensByPrompt.merge(key(prompt), tokens, Math::max);
        mAverageTokens =
                mAverageTokens == 0
                        ? tokens
                        : mAverageTokens + SMOOTHING * (tokens - mAverageTokens);
    }

    /** Returns the expected length in tokens; for an unknown prompt the average of all prompts. */
    public int predict(String prompt) {
        Integer seen = mMaxTokensByPrompt.get(key(prompt));
        return seen == null ? (int) mAverageTokens : seen;
    }

    /** Returns the moving average over all samples in tokens, or 0 before the first sample. */
    public double averageTokens() {
        return mAverageTokens;
    }

    private static long key(String prompt) {
        long hash = prompt.length();
        for (int i = 0; i < prompt.length(); i++) {
            hash = 31 * hash + prompt.charAt(i);
        }
        return hash;
    }
}
