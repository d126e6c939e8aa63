package org.fuchsialever.decisions.samples;

import java.time.Duration;

/**
 * Limits of the rollouts of one instance.
 *
 * @param maxHeldSamples samples that may be generated or wait for storage at a time, over all
 *     trainers
 * @param maxOpenSamples samples without acknowledgement that one trainer may have
 * @param maxBatchSamples the most samples in a batch
 * @param maxBatchDelay how long the first sample of a batch waits for others
 * @param initialRetryDelay the first delay before a retry; doubled each time
 * @param maxRetryDelay the longest delay before a retry
 * @param maxOpenPolls long polls that one trainer may have open
 */
public record RolloutLimits(
        int maxHeldSamples,
        int maxOpenSamples,
        int maxBatchSamples,
        Duration maxBatchDelay,
        Duration initialRetryDelay,
        Duration maxRetryDelay,
        int maxOpenPolls) {
    /** The usual limits. */
    public static final RolloutLimits DEFAULTS =
            new RolloutLimits(
                    1_024,
                    65_536,
                    64,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(100),
                    Duration.ofSeconds(10),
                    16);
}
