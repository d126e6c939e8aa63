package org.fuchsialever.decisions.queue;

/**
 * An item of a step, as far as its order depends on it.
 *
 * @param index position in the submission
 * @param group name of its group
 * @param expectedTokens estimate of the tokens that it generates, often far off; 0 if there is none
 * @param begun whether a part of its text is stored
 * @param finished whether it has a result
 */
public record StepItem(
        int index, String group, long expectedTokens, boolean begun, boolean finished) {}
