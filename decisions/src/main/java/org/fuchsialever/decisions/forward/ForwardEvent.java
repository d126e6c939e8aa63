package org.fuchsialever.decisions.forward;

import java.util.List;
import org.fuchsialever.decisions.fleet.FleetUpstream;

/** What the forward duty learns. */
public sealed interface ForwardEvent {

    /** The list of upstreams has changed. */
    record FleetChanged(List<FleetUpstream> upstreams) implements ForwardEvent {

        /** Copies the list. */
        public FleetChanged {
            upstreams = List.copyOf(upstreams);
        }
    }

    /** A call has to run. */
    record Arrived(ForwardCall call) implements ForwardEvent {}

    /** Nobody waits for the call any more. */
    record Cancelled(long number) implements ForwardEvent {}

    /** An attempt has ended; reported once for each attempt that was started. */
    record AttemptEnded(long number, int attempt, AttemptReport report) implements ForwardEvent {}
}
