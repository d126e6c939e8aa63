package org.fuchsialever.decisions.samples;

/**
 * How urgent the samples of a step are, so that the trainer furthest behind its step goes first.
 */
public final class Urgency {
    private static final int SCALE = 1_000;

    private Urgency() {}

    /**
     * Returns the share of the deadline that has passed minus the share of samples that are
     * finished, in thousandths.
     *
     * @param elapsedNanos time since the submission, in nanoseconds
     * @param deadlineNanos time that the step may take, in nanoseconds
     * @param finished finished samples
     * @param total all samples of the step
     */
    public static int of(long elapsedNanos, long deadlineNanos, int finished, int total) {
        double passed = Math.min(2.0, (double) elapsedNanos / Math.max(1, deadlineNanos));
        double done = (double) finished / Math.max(1, total);
        return (int) Math.round(SCALE * (passed - done));
    }
}
