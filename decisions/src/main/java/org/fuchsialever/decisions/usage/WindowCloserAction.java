package org.fuchsialever.decisions.usage;

import java.util.Map;

/** Action of the window closer. One event reports the result of each read, commit and report. */
public sealed interface WindowCloserAction {

    /** Read contributions, closed windows, included totals and accepted reports. */
    record ReadRows() implements WindowCloserAction {}

    /**
     * Close a window in one commit, on the condition that the lease is held, that the window is not
     * closed yet and that the rows of the included totals have the given versions.
     */
    record CloseWindow(
            WindowId window,
            WindowLease lease,
            ClosedWindow closed,
            Map<WindowId, IncludedTotals> included)
            implements WindowCloserAction {

        /** Copies the map. */
        public CloseWindow {
            included = Map.copyOf(included);
        }
    }

    /** Send a report on a new connection while the lease is held. */
    record SendReport(WindowId window, WindowLease lease, String report)
            implements WindowCloserAction {}

    /** Record that a report was accepted; a failure is retried after the next read. */
    record MarkReported(WindowId window) implements WindowCloserAction {}

    /** Delete the row of a start unless it has changed since the last read. No event follows. */
    record DeleteTotals(StartId start) implements WindowCloserAction {}
}
