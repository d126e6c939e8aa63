package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.TreeMap;

/**
 * What fixed reports contain of one window, as its totals or as corrections.
 *
 * @param version version of the row, 0 if there is none
 * @param byStart totals by start
 */
public record IncludedTotals(long version, Map<StartId, Map<UsageKey, UsageCounts>> byStart) {

    /** Copies the totals. */
    public IncludedTotals {
        byStart = Map.copyOf(byStart);
    }

    /** Nothing, in a row that does not exist. */
    static IncludedTotals none() {
        return new IncludedTotals(0, Map.of());
    }

    /** Adds to the sum what the contributions to a window exceed these totals by. */
    IncludedTotals raise(
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
                                    (key, figures) -> {
                                        UsageCounts before =
                                                known.getOrDefault(key, UsageCounts.ZERO);
                                        UsageCounts more = figures.excessOver(before);
                                        if (!more.equals(UsageCounts.ZERO)) {
                                            excess.merge(key, more, UsageCounts::plus);
                                            known.put(key, before.max(figures));
                                        }
                                    });
                    if (!known.isEmpty()) {
                        raised.put(start, known);
                    }
                });
        return new IncludedTotals(version, raised);
    }
}
