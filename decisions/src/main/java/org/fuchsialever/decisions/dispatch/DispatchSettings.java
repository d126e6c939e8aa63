package org.fuchsialever.decisions.dispatch;

import java.time.Duration;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * Settings of the dispatch duty.
 *
 * @param instance this instance
 * @param domain its failure domain; upstreams in it are slightly preferred
 * @param queueCapacity the most requests that wait in each pool
 * @param maxAttempts the most attempts for one request
 * @param retryRatio retries allowed for each request of a route
 * @param shareInterval how often this instance states what it served
 * @param shareHalfLife half-life of the cost that counts against a team
 * @param rolloutAgeing how long a rollout waits before it counts as live
 */
public record DispatchSettings(
        InstanceId instance,
        FailureDomain domain,
        int queueCapacity,
        int maxAttempts,
        double retryRatio,
        Duration shareInterval,
        Duration shareHalfLife,
        Duration rolloutAgeing) {
    private static final int DEFAULT_QUEUE_CAPACITY = 1_024;
    private static final int DEFAULT_MAX_ATTEMPTS = 4;
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final Duration DEFAULT_SHARE_INTERVAL = Duration.ofMillis(500);
    private static final Duration DEFAULT_SHARE_HALF_LIFE = Duration.ofSeconds(5);
    private static final Duration DEFAULT_ROLLOUT_AGEING = Duration.ofSeconds(30);

    /** Returns the usual settings for an instance. */
    public static DispatchSettings standard(InstanceId instance, FailureDomain domain) {
        return new DispatchSettings(
                instance,
                domain,
                DEFAULT_QUEUE_CAPACITY,
                DEFAULT_MAX_ATTEMPTS,
                DEFAULT_RETRY_RATIO,
                DEFAULT_SHARE_INTERVAL,
                DEFAULT_SHARE_HALF_LIFE,
                DEFAULT_ROLLOUT_AGEING);
    }

    /** Returns the same settings with another queue capacity. */
    public DispatchSettings withQueueCapacity(int capacity) {
        return new DispatchSettings(
                instance,
                domain,
                capacity,
                maxAttempts,
                retryRatio,
                shareInterval,
                shareHalfLife,
                rolloutAgeing);
    }
}
