package org.fuchsialever.decisions.orders;

import java.util.List;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * Starts and stops that bring a pool towards its target.
 *
 * @param starts the placement of each upstream to start
 * @param stops upstreams to stop
 */
public record CapacityPlan(List<CapacityPlacement> starts, List<UpstreamId> stops) {

    /** Copies the lists. */
    public CapacityPlan {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
    }
}
