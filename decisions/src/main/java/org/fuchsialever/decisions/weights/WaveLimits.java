package org.fuchsialever.decisions.weights;

import java.time.Duration;

/**
 * Limits of a rollout.
 *
 * @param loadingShare part of the engines, in each failure domain and in all, that may load or be
 *     out of reach at the same time; one engine always may
 * @param firstEngines engines that load a version before all others
 * @param loadsPerSecond loads that the weight store serves in a second
 * @param loadTimeout time within which an engine reports a version that it was ordered to load
 * @param attempts failed loads after which an engine goes back to its earlier version
 * @param rollbackEngines engines with so many failed loads that the version is given up
 */
public record WaveLimits(
        double loadingShare,
        int firstEngines,
        double loadsPerSecond,
        Duration loadTimeout,
        int attempts,
        int rollbackEngines) {

    /** Checks the limits. */
    public WaveLimits {
        if (loadingShare <= 0 || loadingShare > 1 || firstEngines < 1 || loadsPerSecond <= 0) {
            throw new IllegalArgumentException("bad limits of a rollout");
        }
    }

    /**
     * Returns the standard limits. Three first engines find a version that cannot be loaded before
     * it takes capacity; a quarter out of service leaves the capacity that a planner with a target
     * use of 80% can spare for seconds.
     */
    public static WaveLimits standard(double loadsPerSecond) {
        return new WaveLimits(0.25, 3, loadsPerSecond, Duration.ofSeconds(10), 3, 2);
    }
}
