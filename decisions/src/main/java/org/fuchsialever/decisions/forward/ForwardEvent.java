package org.fuchsialever.decisions.forward;

import java.util.List;
import org.fuchsialever.decisions.fleet.FleetUpstream;

/** Event that the forward duty handles. */
public sealed interface ForwardEvent {

    /** The list of upstreams has changed. */
    record FleetChanged(List<FleetUpstream> upstreams) implements ForwardEvent {

        /** Copies the list. */
        public FleetChanged {
            upstreams = List.copyOf(upstreams);
        }
    }

    /** A call has arrived. */
    record Arrived(ForwardCall call) implements ForwardEvent {}

    /** The caller no longer waits for the call. */
    record Cancelled(long number) implements ForwardEvent {}

    /** An attempt has ended; emitted exactly once per started attempt. */
    record AttemptEnded(long number, int attempt, AttemptReport report) implements ForwardEvent {}
}
