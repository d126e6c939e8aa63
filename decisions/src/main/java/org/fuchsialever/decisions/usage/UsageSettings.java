package org.fuchsialever.decisions.usage;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Periods and bounds of usage totals, the same on all instances.
 *
 * @param windowMillis length of a window
 * @param retentionMillis how long after its beginning a window takes contributions; at least the
 *     longest outage of the table service that loses no usage
 * @param closeDelayMillis time from the end of a window to the fixing of its figures
 * @param maxTotals the most totals that an instance holds of its own start
 * @param maxHandovers the most starts of other instances whose hand-over is held
 */
public record UsageSettings(
        long windowMillis,
        long retentionMillis,
        long closeDelayMillis,
        int maxTotals,
        int maxHandovers) {
    /** Time between two commits of the totals. */
    public static final long COMMIT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time between two hand-overs. */
    public static final long HANDOVER_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A start that has handed over nothing for this time may be gone. */
    public static final long OWNER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** A write that has no answer after this time is tried again. */
    public static final long WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** Checks the values. */
    public UsageSettings {
        if (windowMillis < 1 || retentionMillis < 2 * windowMillis || closeDelayMillis < 0) {
            throw new IllegalArgumentException("bad lengths of usage windows");
        }
        if (maxTotals < 1 || maxHandovers < 1) {
            throw new IllegalArgumentException("bad bounds of usage totals");
        }
    }

    /**
     * Windows of 5 min that take contributions for 3 h. They are fixed 30 s after their end, which
     * is one commit period, the silence after which a peer writes, and retries.
     */
    public static UsageSettings standard() {
        return new UsageSettings(
                Duration.ofMinutes(5).toMillis(),
                Duration.ofHours(3).toMillis(),
                Duration.ofSeconds(30).toMillis(),
                100_000,
                64);
    }

    /** Returns the oldest window that takes contributions at a wall-clock time. */
    public WindowId oldestOpen(long wallMillis) {
        return WindowId.at(wallMillis - retentionMillis, windowMillis);
    }
}
