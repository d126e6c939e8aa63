package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.Set;

/** Event of the window closer. */
public sealed interface WindowCloserEvent {

    /** This instance may close windows of a role. */
    record LeaseAcquired(WindowLease lease) implements WindowCloserEvent {}

    /** This instance may not close windows of a role any more. */
    record LeaseLost(String role) implements WindowCloserEvent {}

    /**
     * The rows were read, possibly in an old state.
     *
     * @param wallMillis wall-clock time of the read
     * @param contributions totals by start
     * @param closed fixed windows
     * @param included what fixed reports contain, by window
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

    /** A fixing commit took effect. */
    record WindowClosed(WindowId window, ClosedWindow closed) implements WindowCloserEvent {}

    /** A fixing commit had no effect, or it is not known whether it had one. */
    record CloseFailed(WindowId window) implements WindowCloserEvent {}

    /** The receiver accepted a report. */
    record ReportAccepted(WindowId window) implements WindowCloserEvent {}

    /** The receiver has other figures for the window. */
    record ReportRefused(WindowId window) implements WindowCloserEvent {}

    /** It is not known whether a report arrived. */
    record ReportFailed(WindowId window) implements WindowCloserEvent {}
}
