package org.fuchsialever.node.entry;

import java.time.Duration;
import org.fuchsialever.decisions.stop.StopPlan;

/**
 * The settings of a planned stop.
 *
 * @param linger how long the load balancer may take to notice
 * @param grace time from the signal until the process is killed
 */
record StopTimes(Duration linger, Duration grace) {

    StopPlan plan(long signalledNanos) {
        return StopPlan.of(signalledNanos, linger, grace);
    }
}
