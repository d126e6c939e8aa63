package org.fuchsialever.decisions.version;

import org.fuchsialever.decisions.fleet.FleetUpstream;

/** Action that the version duty emits. */
public sealed interface VersionAction {

    /** Reads the report of an upstream. */
    record ReadReport(FleetUpstream upstream) implements VersionAction {}

    /**
     * Orders an upstream to load a version.
     *
     * @param order what to load
     * @param fencing the fencing token of the role, which rejects orders of previous holders
     * @param sequence the number of orders that the upstream must have accepted so far, else it
     *     rejects this one
     */
    record SendOrder(VersionOrder order, long fencing, long sequence) implements VersionAction {}
}
