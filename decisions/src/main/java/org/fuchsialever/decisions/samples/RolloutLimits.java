package org.fuchsialever.decisions.samples;

import java.time.Duration;

/**
 * Limits of the rollouts of one instance.
 *
 * @param maxHeldSamples samples that are being generated or wait for storage, over all trainers
 * @param maxOpenSamples unacknowledged samples per trainer
 * @param maxBatchSamples samples per batch
 * @param maxBatchDelay time for which the first sample of a batch waits for others
 * @param initialRetryDelay delay before the first retry; doubled for each further one
 * @param maxRetryDelay upper limit of the retry delay
 * @param maxOpenPolls open long polls, and queued submissions, per trainer
 */
public record RolloutLimits(
        int maxHeldSamples,
        int maxOpenSamples,
        int maxBatchSamples,
        Duration maxBatchDelay,
        Duration initialRetryDelay,
        Duration maxRetryDelay,
        int maxOpenPolls) {
    /** The default limits. */
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
