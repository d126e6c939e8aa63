package org.fuchsialever.decisions.weights;

import java.time.Duration;

/**
 * Limits of a rolling update.
 *
 * @param maxUnavailableShare maximum share of the engines, per failure domain and in total, that
 *     may be loading or unreachable at the same time; one engine may always load
 * @param canaryEngines number of engines that load a version before all others
 * @param loadsPerSecond loads per second that the weight store can serve
 * @param loadTimeout time within which an engine must report a version after it accepted the
 *     command to load it
 * @param maxLoadAttempts consecutive failed loads after which an engine returns to its earlier
 *     version
 * @param rollbackThreshold number of engines on which all attempts failed, from which on the
 *     version is rolled back
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
            throw new IllegalArgumentException("rolling update limits out of range");
        }
    }

    /**
     * Returns the default limits. Three canary engines detect a version that cannot be loaded
     * before it costs capacity. A quarter of the engines unavailable for some seconds is what a
     * planner with a target utilization of 80% leaves as a reserve.
     */
    public static RollingUpdateLimits standard(double loadsPerSecond) {
        return new RollingUpdateLimits(0.25, 3, loadsPerSecond, Duration.ofSeconds(10), 3, 2);
    }
}
