package org.fuchsialever.decisions.usage;

import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;

/** Event of the usage duty. */
public sealed interface UsageEvent {

    /** An upstream worked for a team. */
    record Used(long wallMillis, UsageKey key, UsageCounts counts) implements UsageEvent {}

    /**
     * Another instance handed over the totals of a window.
     *
     * @param totals absolute totals; empty if all of the window is in the table
     */
    record HandoverReceived(
            StartId owner, WindowId window, long sequence, Map<UsageKey, UsageCounts> totals)
            implements UsageEvent {

        /** Copies the totals. */
        public HandoverReceived {
            totals = Map.copyOf(totals);
        }
    }

    /** The other instances that take work now. */
    record PeersListed(List<Peer> peers) implements UsageEvent {

        /** Copies the list. */
        public PeersListed {
            peers = List.copyOf(peers);
        }
    }

    /** Another instance and where it runs. */
    record Peer(InstanceId instance, FailureDomain domain) {}

    /** The row of a start was written with all changes up to the given one. */
    record RowCommitted(StartId owner, long version, long change) implements UsageEvent {}

    /** The row of a start has another version, 0 if there is no row. */
    record RowConflicted(StartId owner, long version, UsageTotals current) implements UsageEvent {}

    /** The row of a start was perhaps not written. */
    record RowFailed(StartId owner) implements UsageEvent {}

    /** The instance stops; everything is written once more. */
    record Stop() implements UsageEvent {}
}
