package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.model.UpstreamId;

/** Output of the order duty of a pool. */
public sealed interface OrderAction {

    /** Something about the intents of the role. */
    record RoleAction(IntentAction<UpstreamCommand> action) implements OrderAction {}

    /** Ask the ordering interface for the upstreams. */
    record ListUpstreams() implements OrderAction {}

    /** Tell the dispatch duty and the peers that an upstream takes no new work. */
    record PublishLeaving(UpstreamId upstream) implements OrderAction {}

    /** Count that capacity was refused; the place is not asked again before its delay is over. */
    record CapacityRefused(CapacityPlacement placement) implements OrderAction {}
}
