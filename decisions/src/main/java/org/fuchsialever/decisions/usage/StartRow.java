package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fuchsialever.kernel.duty.ActionSink;

/** Usage totals of one start and the known state of its row in the table. */
final class StartRow {
    private final StartId owner;
    private final UsageTotals totals = new UsageTotals();
    private final TreeMap<WindowId, Long> lastChanges = new TreeMap<>();
    private long lastChange;
    private long committedChange;
    private long version;
    private boolean writing;
    private long writingSince;

    StartRow(StartId owner) {
        this.owner = owner;
    }

    UsageTotals totals() {
        return totals;
    }

    void add(WindowId window, UsageKey key, UsageCounts counts) {
        totals.add(window, key, counts);
        lastChanges.put(window, ++lastChange);
    }

    void mergeMax(WindowId window, Map<UsageKey, UsageCounts> newer) {
        totals.mergeMax(window, newer);
        lastChanges.put(window, ++lastChange);
    }

    /** Returns the windows with totals that are not known to be in the table. */
    TreeSet<WindowId> uncommitted() {
        return changedAfter(committedChange);
    }

    TreeSet<WindowId> changedAfter(long number) {
        TreeSet<WindowId> result = new TreeSet<>();
        lastChanges.forEach(
                (window, last) -> {
                    if (last > number) {
                        result.add(window);
                    }
                });
        return result;
    }

    long lastChange() {
        return lastChange;
    }

    boolean isWriting() {
        return writing;
    }

    boolean isCommitted() {
        return uncommitted().isEmpty();
    }

    void write(long nowNanos, ActionSink<UsageAction> actions) {
        // The result of a write is lost if the ring of the duty is full. Writing again is harmless.
        if (writing && nowNanos - writingSince >= UsageSettings.WRITE_TIMEOUT_NANOS) {
            writing = false;
        }
        if (!writing && !isCommitted()) {
            writing = true;
            writingSince = nowNanos;
            actions.emit(new UsageAction.WriteRow(owner, version, lastChange, totals.copy()));
        }
    }

    void committed(long newVersion, long writtenChange) {
        writing = false;
        version = Math.max(version, newVersion);
        committedChange = Math.max(committedChange, writtenChange);
    }

    /** Merges the current content of the row, so that the next write preserves it. */
    void conflicted(long currentVersion, UsageTotals current) {
        writing = false;
        version = currentVersion;
        totals.mergeMax(current);
    }

    void failed() {
        writing = false;
    }

    /** Drops old windows and returns how many of them had not been written. */
    int dropBefore(WindowId oldest) {
        int lost = uncommitted().headSet(oldest).size();
        totals.dropBefore(oldest);
        lastChanges.headMap(oldest).clear();
        return lost;
    }
}
