package org.fuchsialever.decisions.orders;

import java.util.List;
import org.fuchsialever.decisions.model.FailureDomain;

/**
 * Limits and prices of a pool.
 *
 * @param minUpstreams least number of upstreams
 * @param maxUpstreams greatest number of upstreams
 * @param slotsPerUpstream requests that one upstream handles at once
 * @param domains failure domains in which capacity can be ordered
 * @param regularPrice price of a regular upstream for a second
 * @param cheapPrice price of a cheap upstream for a second
 * @param startCost price of starting and stopping an upstream once
 */
public record PlanLimits(
        int minUpstreams,
        int maxUpstreams,
        int slotsPerUpstream,
        List<FailureDomain> domains,
        double regularPrice,
        double cheapPrice,
        double startCost) {
    /** At 80% of its slots an upstream keeps room for demand that rises while others start. */
    private static final double TARGET_USE = 0.8;

    /** Copies the domains and checks the limits. */
    public PlanLimits {
        domains = List.copyOf(domains);
        if (domains.isEmpty()
                || slotsPerUpstream < 1
                || minUpstreams < 0
                || maxUpstreams < minUpstreams) {
            throw new IllegalArgumentException("bad limits of a pool");
        }
    }

    /** Returns the upstreams that a demand needs. */
    public CapacityNeed need(PoolDemand demand) {
        double perUpstream = slotsPerUpstream * TARGET_USE;
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
     * Returns for how many seconds a spare regular upstream is kept: until it has cost as much as
     * stopping it and starting it again, which is never worse than twice the best choice.
     */
    public double spareRetentionSeconds() {
        return startCost / regularPrice;
    }
}
