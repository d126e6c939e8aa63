package org.fuchsialever.decisions.samples;

/**
 * A prompt for which several samples are requested.
 *
 * @param group name of the group, unique within the step
 * @param samples number of samples; they are delivered only as a complete group
 * @param maxTokens maximum number of generated tokens per sample
 */
public record GroupSpec(String group, String prompt, int samples, int maxTokens) {

    /** Checks that both numbers are positive. */
    public GroupSpec {
        if (samples < 1 || maxTokens < 1) {
            throw new IllegalArgumentException(
                    "a group needs at least one sample and one token: " + group);
        }
    }
}
