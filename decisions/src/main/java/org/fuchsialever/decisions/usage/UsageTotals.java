package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;

/** Absolute totals by window. Totals of one start only grow. Not thread-safe. */
public final class UsageTotals {
    private final TreeMap<WindowId, TreeMap<UsageKey, UsageCounts>> windows = new TreeMap<>();

    /** Adds figures to one total. */
    public void add(WindowId window, UsageKey key, UsageCounts figures) {
        window(window).merge(key, figures, UsageCounts::plus);
    }

    /** Raises totals of a window to at least the given ones; doing it twice changes nothing. */
    public void mergeMax(WindowId window, Map<UsageKey, UsageCounts> totals) {
        TreeMap<UsageKey, UsageCounts> own = window(window);
        totals.forEach((key, figures) -> own.merge(key, figures, UsageCounts::max));
    }

    /** Raises all totals to at least the given ones. */
    public void mergeMax(UsageTotals other) {
        other.windows.forEach(this::mergeMax);
    }

    /** Returns the totals of a window, possibly empty. */
    public Map<UsageKey, UsageCounts> of(WindowId window) {
        return Map.copyOf(windows.getOrDefault(window, new TreeMap<>()));
    }

    /** Returns the windows that have totals. */
    public NavigableSet<WindowId> windows() {
        return windows.navigableKeySet();
    }

    /** Returns a copy. */
    public UsageTotals copy() {
        UsageTotals copy = new UsageTotals();
        copy.mergeMax(this);
        return copy;
    }

    /** Forgets all windows before the given one and returns their number. */
    public int dropBefore(WindowId oldest) {
        int before = windows.size();
        windows.headMap(oldest).clear();
        return before - windows.size();
    }

    /** Returns the number of totals. */
    public int size() {
        return windows.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns whether there is a total for a window and key. */
    public boolean contains(WindowId window, UsageKey key) {
        return windows.getOrDefault(window, new TreeMap<>()).containsKey(key);
    }

    private TreeMap<UsageKey, UsageCounts> window(WindowId window) {
        return windows.computeIfAbsent(window, w -> new TreeMap<>());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof UsageTotals totals && windows.equals(totals.windows);
    }

    @Override
    public int hashCode() {
        return windows.hashCode();
    }

    @Override
    public String toString() {
        return windows.toString();
    }
}
