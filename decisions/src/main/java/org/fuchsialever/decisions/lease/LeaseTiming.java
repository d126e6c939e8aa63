package org.fuchsialever.decisions.lease;

import java.util.concurrent.TimeUnit;

/**
 * Periods of the lease protocol in nanoseconds.
 *
 * @param duration how long a renewal is worth
 * @param renewalInterval time between renewals
 * @param pollInterval time between reads of the table
 */
public record LeaseTiming(long duration, long renewalInterval, long pollInterval) {
    private static final long DRIFT_DIVISOR = 50;

    /**
     * Periods that move a role within 10 s of its holder's death: up to 1.2 s until the last
     * renewal is observed, 5.1 s of observation, 0.5 s of spread and 1.5 s of precedence.
     */
    public static LeaseTiming standard() {
        return new LeaseTiming(
                TimeUnit.SECONDS.toNanos(5),
                TimeUnit.SECONDS.toNanos(2),
                TimeUnit.SECONDS.toNanos(1));
    }

    /** Returns how long a holder may act after it sent a renewal. */
    public long validityPeriod() {
        return duration - duration / DRIFT_DIVISOR;
    }

    /** Returns how long a challenger observes an unchanged session row. */
    public long observationPeriod() {
        return duration + duration / DRIFT_DIVISOR;
    }
}
