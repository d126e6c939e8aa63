package org.fuchsialever.decisions.orders;

import java.util.List;
import org.fuchsialever.decisions.intent.IntentEvent;

/** Input of the order duty of a pool. */
public sealed interface OrderEvent {

    /** An event for the intent machine of the role. */
    record RoleEvent(IntentEvent<UpstreamCommand> event) implements OrderEvent {}

    /** The ordering interface returned the upstreams of the pool. */
    record UpstreamsListed(List<ObservedUpstream> upstreams) implements OrderEvent {

        /** Copies the list. */
        public UpstreamsListed {
            upstreams = List.copyOf(upstreams);
        }
    }

    /** The demand was measured. */
    record DemandObserved(PoolDemand demand) implements OrderEvent {}

    /** New limits or prices of the pool take effect. */
    record LimitsChanged(PlanLimits limits) implements OrderEvent {}
}
