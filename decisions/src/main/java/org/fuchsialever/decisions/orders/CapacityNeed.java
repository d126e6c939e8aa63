package org.fuchsialever.decisions.orders;

/**
 * Upstreams that a pool needs.
 *
 * @param guaranteed upstreams that must be left after any one failure domain of cheap ones was
 *     reclaimed
 * @param total upstreams for all demand, at least {@code firm}
 */
public record CapacityNeed(int guaranteed, int total) {

    /** Checks the order. */
    public CapacityNeed {
        total = Math.max(guaranteed, total);
    }

    /** Returns the greater of both needs in each part. */
    public CapacityNeed max(CapacityNeed other) {
        return new CapacityNeed(
                Math.max(guaranteed, other.guaranteed), Math.max(total, other.total));
    }
}
