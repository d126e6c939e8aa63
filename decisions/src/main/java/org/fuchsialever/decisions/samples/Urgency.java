package org.fuchsialever.decisions.samples;

/**
 * Computes the urgency of the samples of a step, by which the trainer furthest behind its step goes
 * first.
 */
public final class Urgency {
    private static final int SCALE = 1_000;

    private Urgency() {}

    /**
     * Returns the share of the deadline that has passed minus the share of finished samples, in
     * thousandths.
     *
     * @param elapsedNanos time since the submission, in nanoseconds
     * @param deadlineNanos target duration of the step, in nanoseconds
     * @param finished number of finished samples
     * @param total number of samples of the step
     */
    public static int of(long elapsedNanos, long deadlineNanos, int finished, int total) {
        double passed = Math.min(2.0, (double) elapsedNanos / Math.max(1, deadlineNanos));
        double done = (double) finished / Math.max(1, total);
        return (int) Math.round(SCALE * (passed - done));
    }
}
