package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.TreeMap;

/**
 * What the reports of closed windows contain of one window, as totals or as corrections.
 *
 * @param version version of the row, 0 if there is none
 * @param byStart totals by start of an instance
 */
public record IncludedTotals(long version, Map<StartId, Map<UsageKey, UsageCounts>> byStart) {

    /** Copies the totals. */
    public IncludedTotals {
        byStart = Map.copyOf(byStart);
    }

    /** Returns empty totals of a row that does not exist. */
    static IncludedTotals empty() {
        return new IncludedTotals(0, Map.of());
    }

    /**
     * Merges contributions to a window into these totals.
     *
     * @param excess receives what the contributions exceed these totals by
     */
    IncludedTotals merge(
            WindowId window,
            Map<StartId, UsageTotals> contributions,
            Map<UsageKey, UsageCounts> excess) {
        Map<StartId, Map<UsageKey, UsageCounts>> raised = new TreeMap<>(byStart);
        contributions.forEach(
                (start, totals) -> {
                    Map<UsageKey, UsageCounts> known =
                            new TreeMap<>(byStart.getOrDefault(start, Map.of()));
                    totals.of(window)
                            .forEach(
                                    (key, counts) -> {
                                        UsageCounts before =
                                                known.getOrDefault(key, UsageCounts.ZERO);
                                        UsageCounts more = counts.excessOver(before);
                                        if (!more.equals(UsageCounts.ZERO)) {
                                            excess.merge(key, more, UsageCounts::plus);
                                            known.put(key, before.max(counts));
                                        }
                                    });
                    if (!known.isEmpty()) {
                        raised.put(start, known);
                    }
                });
        return new IncludedTotals(version, raised);
    }
}
