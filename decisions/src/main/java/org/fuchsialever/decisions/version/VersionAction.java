package org.fuchsialever.decisions.version;

import org.fuchsialever.decisions.fleet.FleetUpstream;

/** What the version duty decides. */
public sealed interface VersionAction {

    /** Asks an upstream for its state. */
    record ReadReport(FleetUpstream upstream) implements VersionAction {}

    /**
     * Orders an upstream to load a version.
     *
     * @param order what to load
     * @param fencing the fencing number of the role
     * @param sequence the number of orders that the upstream must have accepted so far
     */
    record SendOrder(VersionOrder order, long fencing, long sequence) implements VersionAction {}
}
