package org.fuchsialever.decisions.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fuchsialever.kernel.duty.ActionSink;

/** Usage totals of one start and the known state of its row in the table. */
final class StartRow {
    private final StartId mOwner;
    private final UsageTotals mTotals = new UsageTotals();
    private final TreeMap<WindowId, Long> mLastChanges = new TreeMap<>();
    private long mLastChange;
    private long mCommittedChange;
    private long mVersion;
    private boolean mWriting;
    private long mWritingSince;

    StartRow(StartId owner) {
        mOwner = owner;
    }

    UsageTotals totals() {
        return mTotals;
    }

    void add(WindowId window, UsageKey key, UsageCounts counts) {
        mTotals.add(window, key, counts);
        mLastChanges.put(window, ++mLastChange);
    }

    void mergeMax(WindowId window, Map<UsageKey, UsageCounts> newer) {
        mTotals.mergeMax(window, newer);
        mLastChanges.put(window, ++mLastChange);
    }

    /** Returns the windows with totals that are not known to be in the table. */
    TreeSet<WindowId> uncommitted() {
        return changedAfter(mCommittedChange);
    }

    TreeSet<WindowId> changedAfter(long number) {
        TreeSet<WindowId> result = new TreeSet<>();
        mLastChanges.forEach(
                (window, last) -> {
                    if (last > number) {
                        result.add(window);
                    }
                });
        return result;
    }

    long lastChange() {
        return mLastChange;
    }

    boolean isWriting() {
        return mWriting;
    }

    boolean isCommitted() {
        return uncommitted().isEmpty();
    }

    void write(long nowNanos, ActionSink<UsageAction> actions) {
        // The result of a write is lost if the ring of the duty is full. Writing again is harmless.
        if (mWriting && nowNanos - mWritingSince >= UsageSettings.WRITE_TIMEOUT_NANOS) {
            mWriting = false;
        }
        if (!mWriting && !isCommitted()) {
            mWriting = true;
            mWritingSince = nowNanos;
            actions.emit(new UsageAction.WriteRow(mOwner, mVersion, mLastChange, mTotals.copy()));
        }
    }

    void committed(long newVersion, long writtenChange) {
        mWriting = false;
        mVersion = Math.max(mVersion, newVersion);
        mCommittedChange = Math.max(mCommittedChange, writtenChange);
    }

    /** Merges the current content of the row, so that the next write preserves it. */
    void conflicted(long currentVersion, UsageTotals current) {
        mWriting = false;
        mVersion = currentVersion;
        mTotals.mergeMax(current);
    }

    void failed() {
        mWriting = false;
    }

    /** Drops old windows and returns how many of them had not been written. */
    int dropBefore(WindowId oldest) {
        int lost = uncommitted().headSet(oldest).size();
        mTotals.dropBefore(oldest);
        mLastChanges.headMap(oldest).clear();
        return lost;
    }
}
