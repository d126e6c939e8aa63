package org.fuchsialever.decisions.samples;

import java.time.Duration;

/**
 * Limits of the rollouts of one instance.
 *
 * @param heldSamples samples that may be generated or wait for storage at a time, over all trainers
 * @param openSamples samples without acknowledgement that one trainer may have
 * @param batchSamples the most samples in a batch
 * @param batchDelay how long the first sample of a batch waits for others
 * @param firstRetry the first delay before a retry; doubled each time
 * @param longestRetry the longest delay before a retry
 * @param polls long polls that one trainer may have open
 */
public record RolloutLimits(
        int heldSamples,
        int openSamples,
        int batchSamples,
        Duration batchDelay,
        Duration firstRetry,
        Duration longestRetry,
        int polls) {
    /** The usual limits. */
    public static final RolloutLimits USUAL =
            new RolloutLimits(
                    1_024,
                    65_536,
                    64,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(100),
                    Duration.ofSeconds(10),
                    16);
}
