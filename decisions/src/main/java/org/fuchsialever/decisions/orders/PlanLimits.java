package org.fuchsialever.decisions.orders;

import java.util.List;
import org.fuchsialever.decisions.model.FailureDomain;

/**
 * Limits and prices of a pool.
 *
 * @param minUpstreams minimum number of upstreams
 * @param maxUpstreams maximum number of upstreams
 * @param slotsPerUpstream number of requests that one upstream processes concurrently
 * @param domains failure domains in which capacity can be ordered
 * @param regularPrice price of a regular upstream per second
 * @param cheapPrice price of a cheap upstream per second
 * @param startCost price of one start and stop of an upstream
 */
public record PlanLimits(
        int minUpstreams,
        int maxUpstreams,
        int slotsPerUpstream,
        List<FailureDomain> domains,
        double regularPrice,
        double cheapPrice,
        double startCost) {
    /** At 80% of the slots, upstreams have room for rising demand while others start. */
    private static final double TARGET_UTILIZATION = 0.8;

    /** Copies the domains and checks the limits. */
    public PlanLimits {
        domains = List.copyOf(domains);
        if (domains.isEmpty()
                || slotsPerUpstream < 1
                || minUpstreams < 0
                || maxUpstreams < minUpstreams) {
            throw new IllegalArgumentException("pool limits out of range");
        }
    }

    /** Returns the number of upstreams that a demand needs. */
    public CapacityNeed need(PoolDemand demand) {
        double perUpstream = slotsPerUpstream * TARGET_UTILIZATION;
        int firm = (int) Math.ceil(demand.guaranteedSlots() / perUpstream);
        int total =
                (int)
                        Math.ceil(
                                demand.totalSlots((double) maxUpstreams * slotsPerUpstream)
                                        / perUpstream);
        return new CapacityNeed(
                Math.min(maxUpstreams, firm),
                Math.max(minUpstreams, Math.min(maxUpstreams, total)));
    }

    /**
     * Returns for how many seconds a spare regular upstream is retained: until it has cost as much
     * as stopping and starting it again. The cost is then at most twice that of the optimal
     * decision.
     */
    public double spareRetentionSeconds() {
        return startCost / regularPrice;
    }
}
