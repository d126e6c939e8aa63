package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fuchsialever.kernel.duty.ActionSink;

/** The totals of one start and what is known about its row in the table. */
final class StartRow {
    private final StartId owner;
    private final UsageTotals totals = new UsageTotals();
    private final TreeMap<WindowId, Long> changes = new TreeMap<>();
    private long change;
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

    void add(WindowId window, UsageKey key, UsageCounts figures) {
        totals.add(window, key, figures);
        changes.put(window, ++change);
    }

    void raise(WindowId window, Map<UsageKey, UsageCounts> newer) {
        totals.mergeMax(window, newer);
        changes.put(window, ++change);
    }

    /** Returns the windows with totals that are not known to be in the table. */
    TreeSet<WindowId> uncommitted() {
        return changedAfter(committedChange);
    }

    TreeSet<WindowId> changedAfter(long number) {
        TreeSet<WindowId> result = new TreeSet<>();
        changes.forEach(
                (window, last) -> {
                    if (last > number) {
                        result.add(window);
                    }
                });
        return result;
    }

    long lastChange() {
        return change;
    }

    boolean isWriting() {
        return writing;
    }

    boolean isCommitted() {
        return uncommitted().isEmpty();
    }

    void write(long nowNanos, ActionSink<UsageAction> actions) {
        // An answer is lost when the ring of the duty is full; another write is harmless.
        if (writing && nowNanos - writingSince >= UsageSettings.WRITE_TIMEOUT_NANOS) {
            writing = false;
        }
        if (!writing && !isCommitted()) {
            writing = true;
            writingSince = nowNanos;
            actions.emit(new UsageAction.WriteRow(owner, version, change, totals.copy()));
        }
    }

    void committed(long newVersion, long writtenChange) {
        writing = false;
        version = Math.max(version, newVersion);
        committedChange = Math.max(committedChange, writtenChange);
    }

    /** Takes over what the row holds, so that the next write loses nothing of it. */
    void conflicted(long presentVersion, UsageTotals present) {
        writing = false;
        version = presentVersion;
        totals.mergeMax(present);
    }

    void failed() {
        writing = false;
    }

    /** Forgets old windows and returns how many of them were not in the table. */
    int dropBefore(WindowId oldest) {
        int lost = uncommitted().headSet(oldest).size();
        totals.dropBefore(oldest);
        changes.headMap(oldest).clear();
        return lost;
    }
}
