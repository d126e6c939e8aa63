package org.fuchsialever.decisions.intent;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Timeouts and delays of the intent protocol.
 *
 * @param receiverRequestTimeout time after which a receiver drops an incomplete request
 * @param initialRetryDelay upper bound of the first retry delay
 * @param maxRetryDelay upper bound of all retry delays
 * @param minWriteInterval minimum time between two writes of the journal
 */
public record IntentTiming(
        Duration receiverRequestTimeout,
        Duration initialRetryDelay,
        Duration maxRetryDelay,
        Duration minWriteInterval) {
    private static final int MAX_DOUBLINGS = 20;

    /** Each of two clocks may drift by 1% from real time, as the lease protocol assumes. */
    private static final long DRIFT_DIVISOR = 50;

    /** Returns the defaults; a write of the journal collects the changes of 200 ms. */
    public static IntentTiming standard(Duration receiverRequestTimeout) {
        return new IntentTiming(
                receiverRequestTimeout,
                Duration.ofMillis(200),
                Duration.ofSeconds(5),
                Duration.ofMillis(200));
    }

    /** Returns the nanoseconds after which a request on an earlier connection was dropped. */
    long quietPeriodNanos() {
        long timeout = receiverRequestTimeout.toNanos();
        return timeout + timeout / DRIFT_DIVISOR;
    }

    /** Returns a random delay in nanoseconds, between half of the exponential bound and it. */
    long retryDelayNanos(int failures, RandomGenerator random) {
        double bound =
                initialRetryDelay.toNanos() * Math.pow(2, Math.min(failures - 1, MAX_DOUBLINGS));
        long boundNanos = (long) Math.min(bound, maxRetryDelay.toNanos());
        return boundNanos / 2 + random.nextLong(boundNanos / 2 + 1);
    }
}
