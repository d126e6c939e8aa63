package org.fuchsialever.decisions.domain;

import io.vavr.control.Option;

/**
 * Room for the calls of a service in one failure domain at one moment.
 *
 * @param domain name of the failure domain
 * @param slots number of calls that the upstreams which accept calls run at once
 * @param capacity the same, each upstream divided by its slowdown
 * @param coverage part of the capacity whose load is known, 0 to 1
 * @param utilization calls per unit of capacity where the load is known; none if no upstream has
 *     reported lately
 */
public record DomainLoad(
        String domain, int slots, double capacity, double coverage, Option<Double> utilization) {
    /** Utilization up to which the wait follows from chance arrivals alone. */
    private static final double MAX_STEADY_UTILIZATION = 0.95;

    private static final double UTILIZATION_PRECISION = 0.001;

    /** Returns whether an upstream of the domain accepts calls. */
    public boolean isServing() {
        return capacity > 0;
    }

    /**
     * Returns the time that a call is expected to wait for a slot, by Sakasegawa's approximation of
     * a queue with several servers; beyond full utilization, the time to work off the excess.
     *
     * @param slots number of slots
     * @param utilization calls per unit of capacity
     * @param workNanos time that a call takes in a slot, in nanoseconds
     */
    static long waitNanos(int slots, double utilization, long workNanos) {
        double steady = Math.min(utilization, MAX_STEADY_UTILIZATION);
        double queued = Math.pow(steady, Math.sqrt(2.0 * (slots + 1)) - 1) / (slots * (1 - steady));
        double excess = Math.max(0, utilization - MAX_STEADY_UTILIZATION);
        return Math.round(workNanos * (queued + excess));
    }

    /** Returns the time that a call is expected to wait in this domain. */
    long waitNanos(double utilization, long workNanos) {
        return waitNanos(slots, utilization, workNanos);
    }

    /** Returns the utilization at which a call is expected to wait as long as given. */
    double utilizationAt(long waitNanos, long workNanos) {
        double low = 0;
        double high = MAX_STEADY_UTILIZATION + (double) waitNanos / Math.max(1, workNanos);
        while (high - low > UTILIZATION_PRECISION) {
            double middle = (low + high) / 2;
            if (waitNanos(middle, workNanos) < waitNanos) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    /** Returns how many further calls fit without waiting. */
    double room(double utilization) {
        return capacity * Math.max(0, 1 - utilization);
    }
}
