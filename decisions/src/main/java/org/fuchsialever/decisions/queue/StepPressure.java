package org.fuchsialever.decisions.queue;

/**
 * How much work waits before a pool when a step begins.
 *
 * @param itemsPerSlot open items of all submissions for each slot of the pool
 * @param secondsToFinish time in which the pool finishes them at its present rate, 0 if unknown
 * @param secondsLeft time until the step is due
 */
public record StepPressure(double itemsPerSlot, double secondsToFinish, double secondsLeft) {
    /** A pool with room for all items. */
    public static final StepPressure NONE = new StepPressure(0, 0, 0);

    /**
     * With fewer items for each slot the end of a step is decided by its longest items. Groups
     * beyond the target then replace groups that turn out to be longer than estimated.
     */
    private static final double MIN_SHORT_ITEMS_PER_SLOT = 4;

    /** Returns whether the items wait so long that those beyond the target delay the others. */
    public boolean isShort() {
        return itemsPerSlot >= MIN_SHORT_ITEMS_PER_SLOT;
    }

    /** Returns whether the step cannot be complete in time, so that single groups count. */
    public boolean isLate() {
        return isShort() && secondsToFinish > secondsLeft;
    }

    /** Returns the part of a late step that can be complete in time. */
    double partInTime() {
        return isLate() ? Math.max(0, secondsLeft / secondsToFinish) : 1;
    }
}
