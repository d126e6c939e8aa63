package org.fuchsialever.decisions.usage;

import java.util.Map;

/** Action of the window closer. One event reports the result of each read, commit and report. */
public sealed interface CloserAction {

    /** Read contributions, closed windows, included totals and accepted reports. */
    record ReadRows() implements CloserAction {}

    /**
     * Close a window in one commit, on the condition that the lease is held, that the window is not
     * closed yet and that the rows of the included totals have the given versions.
     */
    record FixWindow(
            WindowId window,
            SlotLease lease,
            FixedWindow fixed,
            Map<WindowId, IncludedTotals> included)
            implements CloserAction {

        /** Copies the map. */
        public FixWindow {
            included = Map.copyOf(included);
        }
    }

    /** Send a report on a new connection while the lease is held. */
    record SendReport(WindowId window, SlotLease lease, String report) implements CloserAction {}

    /** Record that a report was accepted; a failure is retried after the next read. */
    record MarkReported(WindowId window) implements CloserAction {}

    /** Delete the row of a start unless it has changed since the last read. No event follows. */
    record DeleteTotals(StartId start) implements CloserAction {}
}
