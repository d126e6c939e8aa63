package org.fuchsialever.decisions.usage;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Figures of a window before they are encoded.
 *
 * @param window the window
 * @param totals its totals
 * @param corrections totals that came too late for the report of their own window
 */
public record WindowReport(
        WindowId window,
        SortedMap<UsageKey, UsageCounts> totals,
        SortedMap<WindowId, SortedMap<UsageKey, UsageCounts>> corrections) {

    /** Copies the maps. */
    public WindowReport {
        totals = new TreeMap<>(totals);
        corrections = new TreeMap<>(corrections);
    }

    /** Turns figures into the text that is reported. */
    @FunctionalInterface
    public interface Encoder {

        /** Returns the text of a report. */
        String encode(WindowReport report);
    }

    /** Returns whether there is nothing to report. */
    public boolean isEmpty() {
        return totals.isEmpty() && corrections.isEmpty();
    }
}
