package org.fuchsialever.decisions.orders;

import java.util.List;
import org.fuchsialever.decisions.intent.IntentEvent;

/** Input of the order duty of a pool. */
public sealed interface OrderEvent {

    /** Something about the role or its intents. */
    record RoleEvent(IntentEvent<UpstreamCommand> event) implements OrderEvent {}

    /** The ordering interface stated the upstreams of the pool. */
    record UpstreamsListed(List<ObservedUpstream> upstreams) implements OrderEvent {

        /** Copies the list. */
        public UpstreamsListed {
            upstreams = List.copyOf(upstreams);
        }
    }

    /** The demand was measured. */
    record DemandObserved(PoolDemand demand) implements OrderEvent {}

    /** Limits or prices of the pool are in force from now on. */
    record LimitsChanged(PlanLimits limits) implements OrderEvent {}
}
