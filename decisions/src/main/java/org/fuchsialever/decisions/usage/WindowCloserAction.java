package org.fuchsialever.decisions.usage;

import java.util.Map;

/** Action of the window closer. Each read, commit and report is answered by exactly one event. */
public sealed interface WindowCloserAction {

    /** Read contributions, fixed windows, included totals and accepted reports. */
    record ReadRows() implements WindowCloserAction {}

    /**
     * Fix a window in one commit, on the condition that the lease is held, that the window is not
     * fixed and that the included totals have their versions.
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

    /** Send a report on a fresh connection while the lease is held. */
    record SendReport(WindowId window, WindowLease lease, String report)
            implements WindowCloserAction {}

    /** Record that a report was accepted; tried again after the next read if it fails. */
    record MarkReported(WindowId window) implements WindowCloserAction {}

    /** Delete the row of a start, unless it changed after the last read; not answered. */
    record DeleteTotals(StartId start) implements WindowCloserAction {}
}
