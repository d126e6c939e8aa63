package org.fuchsialever.decisions.stop;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The times of a planned stop, in monotonic nanoseconds.
 *
 * @param signalledNanos when the process was told to stop
 * @param lingerEndNanos until when the load balancer may not have noticed
 * @param lastAnswerNanos when calls that still run are answered, so that the bytes arrive and the
 *     other parts close before the process is killed
 */
public record StopPlan(long signalledNanos, long lingerEndNanos, long lastAnswerNanos) {
    /** What runs in the last sixth of the grace period may be cut; answers go out until then. */
    private static final int RESERVE_DIVISOR = 8;

    /** Parts close within some 10 ms; the rest is for a machine that is short of processor time. */
    private static final Duration MAX_RESERVE = Duration.ofSeconds(1);

    /**
     * Returns the plan of a stop.
     *
     * @param linger how long the load balancer may take to notice
     * @param grace time from the signal until the process is killed
     */
    public static StopPlan of(long signalledNanos, Duration linger, Duration grace) {
        long reserve = Math.min(grace.toNanos() / RESERVE_DIVISOR, MAX_RESERVE.toNanos());
        long usable = grace.toNanos() - reserve;
        return new StopPlan(
                signalledNanos,
                signalledNanos + Math.min(linger.toNanos(), usable),
                signalledNanos + usable);
    }

    /** Returns whether a call that may take this long is certainly answered within the plan. */
    public boolean fits(long nowNanos, long timeoutMillis) {
        // The timeout may be as large as a long, so it is compared before it is converted.
        return timeoutMillis <= TimeUnit.NANOSECONDS.toMillis(lastAnswerNanos - nowNanos);
    }

    /** Returns whether the load balancer has certainly noticed. */
    boolean hasLingered(long nowNanos) {
        return nowNanos - lingerEndNanos >= 0;
    }

    /** Returns whether calls that still run must be answered now. */
    boolean isOver(long nowNanos) {
        return nowNanos - lastAnswerNanos >= 0;
    }
}
