package org.fuchsialever.services;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with jitter. The jitter spreads the retries of many instances when a service
 * recovers from an outage.
 *
 * @param first upper bound of the first delay
 * @param longest upper bound of every delay
 * @param attempts the number of attempts including the first one, at least 1
 */
public record RetryDelays(Duration first, Duration longest, int attempts) {
    private static final int MAX_DOUBLINGS = 30;

    /** Checks the bounds. */
    public RetryDelays {
        if (first.isNegative() || first.isZero() || longest.compareTo(first) < 0 || attempts < 1) {
            throw new IllegalArgumentException(
                    "invalid back-off: delays "
                            + first
                            + " to "
                            + longest
                            + ", attempts "
                            + attempts);
        }
    }

    /**
     * Returns a random delay between half of its upper bound and its upper bound.
     *
     * @param failures the number of failed attempts, at least 1
     */
    public Duration delay(int failures, RandomGenerator random) {
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        double bound = first.toNanos() * Math.pow(2, doublings);
        long boundNanos = (long) Math.min(bound, longest.toNanos());
        return Duration.ofNanos(boundNanos / 2 + random.nextLong(boundNanos / 2 + 1));
    }
}
