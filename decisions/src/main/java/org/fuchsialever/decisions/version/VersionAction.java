package org.fuchsialever.decisions.version;

import java.util.Map;
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

    /**
     * Models of a service have another number of engines than before.
     *
     * @param service name of the service
     * @param shares the share of each model
     */
    record NoteShares(String service, Map<String, EngineShare> shares) implements VersionAction {

        /** Copies the map. */
        public NoteShares {
            shares = Map.copyOf(shares);
        }
    }

    /** The role is lost, and with it what is known of the shares. */
    record ForgetShares() implements VersionAction {}

    /**
     * The share of a model.
     *
     * @param engines number of engines
     * @param tokensPerSecond its estimated demand, 0 if unknown
     */
    record EngineShare(int engines, double tokensPerSecond) {}
}
