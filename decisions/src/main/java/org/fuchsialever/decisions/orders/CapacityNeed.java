package org.fuchsialever.decisions.orders;

/**
 * Number of upstreams that a pool needs.
 *
 * @param guaranteed upstreams that must remain after any one failure domain of cheap capacity is
 *     reclaimed
 * @param total upstreams for all demand, at least {@code guaranteed}
 */
public record CapacityNeed(int guaranteed, int total) {

    /** Raises the total to the guaranteed number if it is lower. */
    public CapacityNeed {
        total = Math.max(guaranteed, total);
    }

    /** Returns the component-wise maximum of both needs. */
    public CapacityNeed max(CapacityNeed other) {
        return new CapacityNeed(
                Math.max(guaranteed, other.guaranteed), Math.max(total, other.total));
    }
}
