package org.fuchsialever.decisions.usage;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Intervals and limits of usage accounting, the same on all instances.
 *
 * @param windowMillis length of a window
 * @param retentionMillis how long after its start a window accepts contributions; at least the
 *     longest outage of the table service that must not lose usage
 * @param closeDelayMillis time from the end of a window until it is closed
 * @param maxTotals maximum number of totals that an instance holds of its own start
 * @param maxHandovers maximum number of starts of other instances whose totals are held
 */
public record UsageSettings(
        long windowMillis,
        long retentionMillis,
        long closeDelayMillis,
        int maxTotals,
        int maxHandovers) {
    /** Time between two commits of the totals. */
    public static final long COMMIT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time between two handovers. */
    public static final long HANDOVER_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A start that sent no handover for this time may have been lost. */
    public static final long OWNER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** A write without a result is retried after this time. */
    public static final long WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** Checks the values. */
    public UsageSettings {
        if (windowMillis < 1 || retentionMillis < 2 * windowMillis || closeDelayMillis < 0) {
            throw new IllegalArgumentException(
                    "usage windows need a length of at least 1 ms, a retention of at least two"
                            + " windows and a close delay of at least 0 ms");
        }
        if (maxTotals < 1 || maxHandovers < 1) {
            throw new IllegalArgumentException(
                    "the maximum numbers of usage totals and handovers must be at least 1");
        }
    }

    /**
     * Returns the defaults: windows of 5 min that accept contributions for 3 h and are closed 30 s
     * after their end. The 30 s cover one commit interval, the timeout after which a peer writes
     * the totals of a lost instance, and retries.
     */
    public static UsageSettings standard() {
        return new UsageSettings(
                Duration.ofMinutes(5).toMillis(),
                Duration.ofHours(3).toMillis(),
                Duration.ofSeconds(30).toMillis(),
                100_000,
                64);
    }

    /** Returns the oldest window that accepts contributions at a wall-clock time. */
    public WindowId oldestOpen(long wallMillis) {
        return WindowId.at(wallMillis - retentionMillis, windowMillis);
    }
}
