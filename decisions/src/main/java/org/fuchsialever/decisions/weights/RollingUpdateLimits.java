package org.fuchsialever.decisions.weights;

import java.time.Duration;

/**
 * Limits of a rollout.
 *
 * @param maxUnavailableShare part of the engines, in each failure domain and in all, that may load
 *     or be out of reach at the same time; one engine always may
 * @param canaryEngines engines that load a version before all others
 * @param loadsPerSecond loads that the weight store serves in a second
 * @param loadTimeout time within which an engine reports a version that it was ordered to load
 * @param maxLoadAttempts failed loads after which an engine goes back to its earlier version
 * @param rollbackThreshold engines with so many failed loads that the version is given up
 */
public record RollingUpdateLimits(
        double maxUnavailableShare,
        int canaryEngines,
        double loadsPerSecond,
        Duration loadTimeout,
        int maxLoadAttempts,
        int rollbackThreshold) {

    /** Checks the limits. */
    public RollingUpdateLimits {
        if (maxUnavailableShare <= 0
                || maxUnavailableShare > 1
                || canaryEngines < 1
                || loadsPerSecond <= 0) {
            throw new IllegalArgumentException("bad limits of a rollout");
        }
    }

    /**
     * Returns the standard limits. Three first engines find a version that cannot be loaded before
     * it takes capacity; a quarter out of service leaves the capacity that a planner with a target
     * use of 80% can spare for seconds.
     */
    public static RollingUpdateLimits standard(double loadsPerSecond) {
        return new RollingUpdateLimits(0.25, 3, loadsPerSecond, Duration.ofSeconds(10), 3, 2);
    }
}
