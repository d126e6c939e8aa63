package org.fuchsialever.decisions.intent;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Periods of the intent protocol.
 *
 * @param receiverRequestTimeout time after which a receiver drops an incomplete request
 * @param initialRetryDelay upper bound of the first delay before a repeat
 * @param maxRetryDelay upper bound of every delay before a repeat
 * @param minWriteInterval least time between two writes of the journal
 */
public record IntentTiming(
        Duration receiverRequestTimeout,
        Duration initialRetryDelay,
        Duration maxRetryDelay,
        Duration minWriteInterval) {
    private static final int MAX_DOUBLINGS = 20;

    /** Clock rates differ by up to 1% from real time each; the lease protocol assumes the same. */
    private static final long DRIFT_DIVISOR = 50;

    /** Returns the standard periods; the interval lets one write carry the changes of 200 ms. */
    public static IntentTiming standard(Duration receiverRequestTimeout) {
        return new IntentTiming(
                receiverRequestTimeout,
                Duration.ofMillis(200),
                Duration.ofSeconds(5),
                Duration.ofMillis(200));
    }

    /** Returns the nanoseconds after which a request on an earlier connection has been dropped. */
    long quietNanos() {
        long timeout = receiverRequestTimeout.toNanos();
        return timeout + timeout / DRIFT_DIVISOR;
    }

    /** Returns a delay in nanoseconds between half of its bound and its bound. */
    long retryNanos(int failures, RandomGenerator random) {
        double bound =
                initialRetryDelay.toNanos() * Math.pow(2, Math.min(failures - 1, MAX_DOUBLINGS));
        long boundNanos = (long) Math.min(bound, maxRetryDelay.toNanos());
        return boundNanos / 2 + random.nextLong(boundNanos / 2 + 1);
    }
}
