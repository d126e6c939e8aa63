package org.fuchsialever.decisions.orders;

import java.util.List;
import org.fuchsialever.decisions.model.UpstreamId;

/**
 * Orders that bring a pool to its target.
 *
 * @param starts a place for each upstream to start
 * @param stops upstreams to stop
 */
public record CapacityPlan(List<CapacityPlacement> starts, List<UpstreamId> stops) {

    /** Copies the lists. */
    public CapacityPlan {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
    }
}
