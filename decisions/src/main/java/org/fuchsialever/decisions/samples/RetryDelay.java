package org.fuchsialever.decisions.samples;

import java.util.random.RandomGenerator;

/** Exponential back-off with random jitter, so that instances do not retry at the same time. */
final class RetryDelay {
    private static final int MAX_DOUBLINGS = 20;

    private final long initialNanos;
    private final long maxNanos;
    private final RandomGenerator random;

    RetryDelay(RolloutLimits limits, RandomGenerator random) {
        this.initialNanos = limits.initialRetryDelay().toNanos();
        this.maxNanos = limits.maxRetryDelay().toNanos();
        this.random = random;
    }

    long delayNanos(int failures) {
        long full =
                Math.min(
                        maxNanos,
                        initialNanos << Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1)));
        return full / 2 + random.nextLong(full / 2 + 1);
    }
}
