package org.fuchsialever.decisions.usage;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Report on the usage of a window before it is encoded.
 *
 * @param corrections counts that arrived too late for the report of their own window, by window
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

    /** Encodes reports. */
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
