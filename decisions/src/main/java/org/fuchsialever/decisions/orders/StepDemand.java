package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.model.TrainerName;

/**
 * Work of a trainer with a deadline.
 *
 * @param slotSeconds remaining work, in seconds of one slot
 * @param secondsLeft seconds until the deadline
 */
public record StepDemand(TrainerName trainer, double slotSeconds, double secondsLeft) {
    /**
     * Lower limit of the time left, so that a deadline that is near or past does not demand
     * unlimited slots.
     */
    private static final double MIN_SECONDS_LEFT = 1;

    /** Returns the number of slots that are needed to finish the work on time. */
    public double slots() {
        return slotSeconds / Math.max(MIN_SECONDS_LEFT, secondsLeft);
    }
}
