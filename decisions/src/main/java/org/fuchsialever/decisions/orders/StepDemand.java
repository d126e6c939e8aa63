package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.model.TrainerName;

/**
 * Work that a trainer needs by a deadline.
 *
 * @param trainer the trainer
 * @param slotSeconds work that is left, in seconds of one slot
 * @param secondsLeft time until the deadline
 */
public record StepDemand(TrainerName trainer, double slotSeconds, double secondsLeft) {
    /** A deadline that is nearer than this asks for no more than this rate. */
    private static final double MIN_SECONDS_LEFT = 1;

    /** Returns the number of slots that finish the work on time. */
    public double slots() {
        return slotSeconds / Math.max(MIN_SECONDS_LEFT, secondsLeft);
    }
}
