package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;

/** Absolute totals by window. Totals of one start only grow. Not thread-safe. */
public final class UsageTotals {
    private final TreeMap<WindowId, TreeMap<UsageKey, UsageCounts>> mWindows = new TreeMap<>();

    /** Adds counts to one total. */
    public void add(WindowId window, UsageKey key, UsageCounts counts) {
        window(window).merge(key, counts, UsageCounts::plus);
    }

    /** Merges totals of a window by the maximum of each count; idempotent. */
    public void mergeMax(WindowId window, Map<UsageKey, UsageCounts> totals) {
        TreeMap<UsageKey, UsageCounts> own = window(window);
        totals.forEach((key, counts) -> own.merge(key, counts, UsageCounts::max));
    }

    /** Merges the totals of all windows by the maximum of each count; idempotent. */
    public void mergeMax(UsageTotals other) {
        other.mWindows.forEach(this::mergeMax);
    }

    /** Returns the totals of a window, possibly empty. */
    public Map<UsageKey, UsageCounts> of(WindowId window) {
        return Map.copyOf(mWindows.getOrDefault(window, new TreeMap<>()));
    }

    /** Returns the windows that have totals. */
    public NavigableSet<WindowId> windows() {
        return mWindows.navigableKeySet();
    }

    /** Returns a copy, which does not change with this object. */
    public UsageTotals copy() {
        UsageTotals copy = new UsageTotals();
        copy.mergeMax(this);
        return copy;
    }

    /** Removes all windows before the given one and returns their number. */
    public int dropBefore(WindowId oldest) {
        int before = mWindows.size();
        mWindows.headMap(oldest).clear();
        return before - mWindows.size();
    }

    /** Returns the number of totals. */
    public int size() {
        return mWindows.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns whether there is a total for a window and key. */
    public boolean contains(WindowId window, UsageKey key) {
        return mWindows.getOrDefault(window, new TreeMap<>()).containsKey(key);
    }

    private TreeMap<UsageKey, UsageCounts> window(WindowId window) {
        return mWindows.computeIfAbsent(window, w -> new TreeMap<>());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof UsageTotals totals && mWindows.equals(totals.mWindows);
    }

    @Override
    public int hashCode() {
        return mWindows.hashCode();
    }

    @Override
    public String toString() {
        return mWindows.toString();
    }
}
