package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.model.UpstreamId;

/** Output of the order duty of a pool. */
public sealed interface OrderAction {

    /** An action of the intent machine of the role. */
    record RoleAction(IntentAction<UpstreamCommand> action) implements OrderAction {}

    /** Request the list of upstreams from the ordering interface. */
    record ListUpstreams() implements OrderAction {}

    /** Notify the dispatch duty and the peers that an upstream accepts no new requests. */
    record PublishLeaving(UpstreamId upstream) implements OrderAction {}

    /**
     * Count a refusal of capacity; the placement is not ordered again until its back-off has
     * expired.
     */
    record CapacityRefused(CapacityPlacement placement) implements OrderAction {}
}
