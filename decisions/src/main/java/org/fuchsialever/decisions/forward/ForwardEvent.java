package org.fuchsialever.decisions.forward;

import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.LoadHint;

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

    /** The weights of teams have changed; 1 for teams that are not in the map. */
    record TeamsWeighed(Map<String, Double> weights) implements ForwardEvent {

        /** Copies the map. */
        public TeamsWeighed {
            weights = Map.copyOf(weights);
        }
    }

    /** The caller no longer waits for the call. */
    record Cancelled(long number) implements ForwardEvent {}

    /**
     * An attempt has received events of a stream.
     *
     * @param number number of the call
     * @param attempt number of the attempt
     * @param nanosPerEvent the time for each event since the last report
     */
    record Progressed(long number, int attempt, long nanosPerEvent) implements ForwardEvent {}

    /**
     * A stream has ended; the pace of one too short to progress is known only then.
     *
     * @param number number of the call
     * @param attempt number of the attempt
     * @param nanosPerEvent the time for each event of the stream
     */
    record PaceMeasured(long number, int attempt, long nanosPerEvent) implements ForwardEvent {}

    /** An upstream has reported its load in the head of a response, which may go on for long. */
    record LoadReported(long number, int attempt, LoadHint load) implements ForwardEvent {}

    /**
     * An upstream has announced in the head of a response that it is leaving.
     *
     * @param upstream the upstream, as it was described when the call was sent
     * @param sinceNanos when the head was received, in monotonic nanoseconds
     * @param wallMillis the same as Unix time in milliseconds
     */
    record LeavingAnnounced(FleetUpstream upstream, long sinceNanos, long wallMillis)
            implements ForwardEvent {}

    /** An attempt has ended; emitted exactly once per started attempt. */
    record AttemptEnded(long number, int attempt, AttemptReport report) implements ForwardEvent {}
}
