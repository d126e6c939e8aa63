package org.fuchsialever.decisions.queue;

/**
 * An item in the order of its step.
 *
 * @param index position in the submission
 * @param spare whether the step probably ends without it
 */
public record RankedItem(int index, boolean spare) {}
