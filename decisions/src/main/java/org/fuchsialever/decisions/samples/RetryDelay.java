package org.fuchsialever.decisions.samples;

import java.util.random.RandomGenerator;

/** Exponential delays, spread at random so that instances do not retry together. */
final class RetryDelay {
    private static final int MAX_DOUBLINGS = 20;

    private final long first;
    private final long longest;
    private final RandomGenerator random;

    RetryDelay(RolloutLimits limits, RandomGenerator random) {
        this.first = limits.initialRetryDelay().toNanos();
        this.longest = limits.maxRetryDelay().toNanos();
        this.random = random;
    }

    long nanos(int failures) {
        long full = Math.min(longest, first << Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1)));
        return full / 2 + random.nextLong(full / 2 + 1);
    }
}
