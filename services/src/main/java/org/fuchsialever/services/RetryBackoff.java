package org.fuchsialever.services;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential delays with jitter. The jitter spreads the retries of many instances when a service
 * returns after an outage.
 *
 * @param initialDelay upper bound of the first delay
 * @param maxDelay upper bound of every delay
 * @param maxAttempts the number of attempts in all, at least 1
 */
public record RetryBackoff(Duration initialDelay, Duration maxDelay, int maxAttempts) {
    private static final int MAX_DOUBLINGS = 30;

    /** Checks the bounds. */
    public RetryBackoff {
        if (initialDelay.isNegative()
                || initialDelay.isZero()
                || maxDelay.compareTo(initialDelay) < 0
                || maxAttempts < 1) {
            throw new IllegalArgumentException("bad bounds of retries");
        }
    }

    /**
     * Returns a delay between half of its bound and its bound.
     *
     * @param failures how many attempts have failed, at least 1
     * @param random source of the jitter
     */
    public Duration delay(int failures, RandomGenerator random) {
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        double bound = initialDelay.toNanos() * Math.pow(2, doublings);
        long boundNanos = (long) Math.min(bound, maxDelay.toNanos());
        return Duration.ofNanos(boundNanos / 2 + random.nextLong(boundNanos / 2 + 1));
    }
}
