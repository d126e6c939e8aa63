package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.Set;

/** Event of the window closer. */
public sealed interface WindowCloserEvent {

    /** This instance acquired the lease of a role and may close its windows. */
    record LeaseAcquired(WindowLease lease) implements WindowCloserEvent {}

    /** This instance lost the lease of a role. */
    record LeaseLost(String role) implements WindowCloserEvent {}

    /**
     * The rows were read; the read may be stale.
     *
     * @param wallMillis wall-clock time of the read
     * @param contributions usage totals by start of an instance
     * @param closed closed windows
     * @param included what the reports of closed windows contain, by window
     * @param reported windows whose report was accepted
     */
    record RowsRead(
            long wallMillis,
            Map<StartId, UsageTotals> contributions,
            Map<WindowId, ClosedWindow> closed,
            Map<WindowId, IncludedTotals> included,
            Set<WindowId> reported)
            implements WindowCloserEvent {

        /** Copies the collections. */
        public RowsRead {
            contributions = Map.copyOf(contributions);
            closed = Map.copyOf(closed);
            included = Map.copyOf(included);
            reported = Set.copyOf(reported);
        }
    }

    /** The rows could not be read. */
    record ReadFailed() implements WindowCloserEvent {}

    /** The commit that closes a window took effect. */
    record WindowClosed(WindowId window, ClosedWindow closed) implements WindowCloserEvent {}

    /** The commit that closes a window had no effect, or its outcome is unknown. */
    record CloseFailed(WindowId window) implements WindowCloserEvent {}

    /** The receiver accepted a report. */
    record ReportAccepted(WindowId window) implements WindowCloserEvent {}

    /** The receiver already has different counts for the window. */
    record ReportRefused(WindowId window) implements WindowCloserEvent {}

    /** It is unknown whether a report was received. */
    record ReportFailed(WindowId window) implements WindowCloserEvent {}
}
