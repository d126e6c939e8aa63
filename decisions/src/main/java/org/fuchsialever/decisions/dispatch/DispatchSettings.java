package org.fuchsialever.decisions.dispatch;

import java.time.Duration;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/**
 * Settings of the dispatch duty.
 *
 * @param instance ID of this instance
 * @param domain its failure domain; upstreams in it are slightly preferred
 * @param queueCapacity maximum number of queued requests per pool
 * @param maxAttempts maximum number of attempts per request
 * @param retryRatio retries allowed per request of a route, as a ratio
 * @param shareInterval interval at which this instance publishes the cost that it served
 * @param shareHalfLife half-life of the cost that counts against a team
 * @param rolloutAgeing queueing time after which a rollout request is treated as a live one
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

    /** Returns the default settings for an instance. */
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

    /** Returns a copy with another queue capacity. */
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
