package org.fuchsialever.decisions.domain;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.fleet.UpstreamState;

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

    /** Returns the load of each failure domain in which one of the upstreams runs. */
    public static List<DomainLoad> of(Collection<UpstreamState> upstreams, long now) {
        Map<String, List<UpstreamState>> byDomain = new TreeMap<>();
        for (UpstreamState upstream : upstreams) {
            byDomain.computeIfAbsent(upstream.spec().failureDomain(), domain -> new ArrayList<>())
                    .add(upstream);
        }
        List<DomainLoad> loads = new ArrayList<>(byDomain.size());
        byDomain.forEach((domain, members) -> loads.add(of(domain, members, now)));
        return loads;
    }

    private static DomainLoad of(String domain, List<UpstreamState> upstreams, long now) {
        int slots = 0;
        double capacity = 0;
        double known = 0;
        double calls = 0;
        for (UpstreamState upstream : upstreams) {
            if (upstream.isAvailable(now)) {
                double room = upstream.spec().slots() / upstream.slowdown(now);
                slots += upstream.spec().slots();
                capacity += room;
                known += upstream.isLoadKnown(now) ? room : 0;
                calls += upstream.isLoadKnown(now) ? upstream.load(now) : 0;
            }
        }
        return new DomainLoad(
                domain,
                slots,
                capacity,
                capacity > 0 ? known / capacity : 0,
                known > 0 ? Option.some(calls / known) : Option.none());
    }

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
