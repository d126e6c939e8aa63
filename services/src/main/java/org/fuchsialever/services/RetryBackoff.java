package org.fuchsialever.services;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with jitter. The jitter spreads the retries of many instances when a service
 * recovers from an outage.
 *
 * @param initialDelay upper bound of the first delay
 * @param maxDelay upper bound of every delay
 * @param maxAttempts the number of attempts including the first one, at least 1
 */
public record RetryBackoff(Duration initialDelay, Duration maxDelay, int maxAttempts) {
    private static final int MAX_DOUBLINGS = 30;

    /** Checks the bounds. */
    public RetryBackoff {
        if (initialDelay.isNegative()
                || initialDelay.isZero()
                || maxDelay.compareTo(initialDelay) < 0
                || maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "invalid back-off: delays "
                            + initialDelay
                            + " to "
                            + maxDelay
                            + ", attempts "
                            + maxAttempts);
        }
    }

    /**
     * Returns a random delay between half of its upper bound and its upper bound.
     *
     * @param failures the number of failed attempts, at least 1
     */
    public Duration delay(int failures, RandomGenerator random) {
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        double bound = initialDelay.toNanos() * Math.pow(2, doublings);
        long boundNanos = (long) Math.min(bound, maxDelay.toNanos());
        return Duration.ofNanos(boundNanos / 2 + random.nextLong(boundNanos / 2 + 1));
    }
}
