package org.fuchsialever.decisions.lease;

import java.util.concurrent.TimeUnit;

/**
 * Periods of the lease protocol in nanoseconds.
 *
 * @param duration duration that a renewal grants, before the safety margin is deducted
 * @param renewalInterval interval between renewals
 * @param pollInterval interval between reads of the table
 */
public record LeaseTiming(long duration, long renewalInterval, long pollInterval) {
    private static final long DRIFT_DIVISOR = 50;

    /** A lease lasts for five sixths of the bound, so that a takeover ends within the bound. */
    private static final long DURATION_SHARE = 5;

    private static final long DURATION_DIVISOR = 6;

    /** Three renewals fit into a lease, so that two of them may fail. */
    private static final long INTERVAL_SHARE = 8;

    private static final long INTERVAL_DIVISOR = 25;

    /**
     * Returns periods that move a role within 10 s of its holder's failure: up to 1.2 s until the
     * last renewal is observed, 5.1 s of observation, 0.5 s of jitter and 1.5 s of waiting for
     * instances with fewer roles.
     */
    public static LeaseTiming standard() {
        return new LeaseTiming(
                TimeUnit.SECONDS.toNanos(5),
                TimeUnit.SECONDS.toNanos(2),
                TimeUnit.SECONDS.toNanos(1));
    }

    /**
     * Returns periods with which two holders never act within the given time of each other unless
     * the first one was told to stop.
     *
     * @param nanos the time that the users allow between the acts of two holders
     */
    public static LeaseTiming within(long nanos) {
        long duration = nanos / DURATION_DIVISOR * DURATION_SHARE;
        long interval = duration * INTERVAL_SHARE / INTERVAL_DIVISOR;
        return new LeaseTiming(duration, interval, interval);
    }

    /** Returns how long a lease is valid after its renewal was sent. */
    public long validityPeriod() {
        return duration - duration / DRIFT_DIVISOR;
    }

    /** Returns how long a challenger must observe an unchanged session row before it ends it. */
    public long observationPeriod() {
        return duration + duration / DRIFT_DIVISOR;
    }
}
