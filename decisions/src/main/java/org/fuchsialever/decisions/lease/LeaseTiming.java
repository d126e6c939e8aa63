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

    /** Returns how long a lease is valid after its renewal was sent. */
    public long validityPeriod() {
        return duration - duration / DRIFT_DIVISOR;
    }

    /** Returns how long a challenger must observe an unchanged session row before it ends it. */
    public long observationPeriod() {
        return duration + duration / DRIFT_DIVISOR;
    }
}
