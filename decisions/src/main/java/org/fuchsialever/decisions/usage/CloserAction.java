package org.fuchsialever.decisions.usage;

import java.util.Map;

/** Action of the window closer. Each read, commit and report is answered by exactly one event. */
public sealed interface CloserAction {

    /** Read contributions, fixed windows, included totals and accepted reports. */
    record ReadRows() implements CloserAction {}

    /**
     * Fix a window in one commit, on the condition that the lease is held, that the window is not
     * fixed and that the included totals have their versions.
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

    /** Send a report on a fresh connection while the lease is held. */
    record SendReport(WindowId window, SlotLease lease, String report) implements CloserAction {}

    /** Record that a report was accepted; tried again after the next read if it fails. */
    record MarkReported(WindowId window) implements CloserAction {}

    /** Delete the row of a start, unless it changed after the last read; not answered. */
    record DeleteTotals(StartId start) implements CloserAction {}
}
