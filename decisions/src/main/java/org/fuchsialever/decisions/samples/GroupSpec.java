package org.fuchsialever.decisions.samples;

/**
 * A prompt of which several samples are wanted.
 *
 * @param group name within the step
 * @param prompt the prompt
 * @param samples how many samples; they count for the step only together
 * @param maxTokens the most tokens to generate for each
 */
public record GroupSpec(String group, String prompt, int samples, int maxTokens) {

    /** Checks the numbers. */
    public GroupSpec {
        if (samples < 1 || maxTokens < 1) {
            throw new IllegalArgumentException("a group needs samples and tokens: " + group);
        }
    }
}
