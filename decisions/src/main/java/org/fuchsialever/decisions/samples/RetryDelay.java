package org.fuchsialever.decisions.samples;

import java.util.random.RandomGenerator;

/** Exponential back-off with random jitter, so that instances do not retry at the same time. */
final class RetryDelay {
    private static final int MAX_DOUBLINGS = 20;

    private final long mInitialNanos;
    private final long mMaxNanos;
    private final RandomGenerator mRandom;

    RetryDelay(RolloutLimits limits, RandomGenerator random) {
        mInitialNanos = limits.initialRetryDelay().toNanos();
        mMaxNanos = limits.maxRetryDelay().toNanos();
        mRandom = random;
    }

    long delayNanos(int failures) {
        long full =
                Math.min(
                        mMaxNanos,
                        mInitialNanos << Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1)));
        return full / 2 + mRandom.nextLong(full / 2 + 1);
    }
}
