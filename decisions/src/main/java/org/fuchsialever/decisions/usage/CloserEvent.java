package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.Set;

/** Event of the window closer. */
public sealed interface CloserEvent {

    /** This instance acquired the lease of a role and may close its windows. */
    record LeaseGained(SlotLease lease) implements CloserEvent {}

    /** This instance lost the lease of a role. */
    record LeaseLost(String role) implements CloserEvent {}

    /**
     * The rows were read; the read may be stale.
     *
     * @param wallMillis wall-clock time of the read
     * @param contributions usage totals by start of an instance
     * @param fixed closed windows
     * @param included what the reports of closed windows contain, by window
     * @param reported windows whose report was accepted
     */
    record RowsRead(
            long wallMillis,
            Map<StartId, UsageTotals> contributions,
            Map<WindowId, FixedWindow> fixed,
            Map<WindowId, IncludedTotals> included,
            Set<WindowId> reported)
            implements CloserEvent {

        /** Copies the collections. */
        public RowsRead {
            contributions = Map.copyOf(contributions);
            fixed = Map.copyOf(fixed);
            included = Map.copyOf(included);
            reported = Set.copyOf(reported);
        }
    }

    /** The rows could not be read. */
    record ReadFailed() implements CloserEvent {}

    /** The commit that closes a window took effect. */
    record Fixed(WindowId window, FixedWindow fixed) implements CloserEvent {}

    /** The commit that closes a window had no effect, or its outcome is unknown. */
    record NotFixed(WindowId window) implements CloserEvent {}

    /** The receiver accepted a report. */
    record ReportAccepted(WindowId window) implements CloserEvent {}

    /** The receiver already has different counts for the window. */
    record ReportRefused(WindowId window) implements CloserEvent {}

    /** It is unknown whether a report was received. */
    record ReportFailed(WindowId window) implements CloserEvent {}
}
