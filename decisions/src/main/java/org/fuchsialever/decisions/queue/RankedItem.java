package org.fuchsialever.decisions.queue;

/**
 * An item in the order of its step.
 *
 * @param index position in the submission
 * @param spare whether it yields to later steps, as the step probably ends or is late without it
 */
public record RankedItem(int index, boolean spare) {}
