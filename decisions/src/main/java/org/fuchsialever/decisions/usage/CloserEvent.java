package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.Set;

/** Event of the window closer. */
public sealed interface CloserEvent {

    /** This instance may close windows of a role. */
    record LeaseGained(SlotLease lease) implements CloserEvent {}

    /** This instance may not close windows of a role any more. */
    record LeaseLost(String role) implements CloserEvent {}

    /**
     * The rows were read, possibly in an old state.
     *
     * @param wallMillis wall-clock time of the read
     * @param contributions totals by start
     * @param fixed fixed windows
     * @param included what fixed reports contain, by window
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

    /** A fixing commit took effect. */
    record Fixed(WindowId window, FixedWindow fixed) implements CloserEvent {}

    /** A fixing commit had no effect, or it is not known whether it had one. */
    record NotFixed(WindowId window) implements CloserEvent {}

    /** The receiver accepted a report. */
    record ReportAccepted(WindowId window) implements CloserEvent {}

    /** The receiver has other figures for the window. */
    record ReportRefused(WindowId window) implements CloserEvent {}

    /** It is not known whether a report arrived. */
    record ReportFailed(WindowId window) implements CloserEvent {}
}
