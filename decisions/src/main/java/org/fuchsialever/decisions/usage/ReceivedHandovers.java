package org.fuchsialever.decisions.usage;

import io.vavr.control.Option;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.kernel.duty.ActionSink;

/**
 * Usage totals received from other instances. They are written to the table if their owner sends no
 * handover within the timeout.
 */
final class ReceivedHandovers {
    private final int mMaxOwners;
    private final TreeMap<StartId, ReceivedTotals> mByOwner = new TreeMap<>();

    ReceivedHandovers(int bound) {
        mMaxOwners = bound;
    }

    /** Returns false if the handover is dropped because too many starts are held already. */
    boolean receive(UsageEvent.HandoverReceived handover, long nowNanos) {
        ReceivedTotals entry = mByOwner.get(handover.owner());
        if (entry == null) {
            if (handover.totals().isEmpty()) {
                return true;
            }
            if (mByOwner.size() >= mMaxOwners) {
                return false;
            }
            entry = new ReceivedTotals(handover.owner());
            mByOwner.put(handover.owner(), entry);
        }
        entry.mLastReceivedNanos = nowNanos;
        entry.receive(handover);
        if (entry.isDone()) {
            mByOwner.remove(handover.owner());
        }
        return true;
    }

    Option<StartRow> row(StartId owner) {
        return Option.of(mByOwner.get(owner)).map(entry -> entry.mRow);
    }

    /**
     * Writes the totals of starts that sent no handover within the timeout. These include starts
     * that chose another receiver, which is harmless because the totals are absolute.
     */
    void writeTimedOut(long nowNanos, ActionSink<UsageAction> actions) {
        for (ReceivedTotals entry : mByOwner.values()) {
            if (nowNanos - entry.mLastReceivedNanos >= UsageSettings.OWNER_TIMEOUT_NANOS
                    && nowNanos - entry.mLastWriteNanos >= UsageSettings.COMMIT_INTERVAL_NANOS) {
                entry.mLastWriteNanos = nowNanos;
                entry.mRow.write(nowNanos, actions);
            }
        }
    }

    void removeIfWritten(StartId owner) {
        ReceivedTotals entry = mByOwner.get(owner);
        if (entry != null && entry.mRow.isCommitted()) {
            mByOwner.remove(owner);
        }
    }

    int dropBefore(WindowId oldest) {
        int lost = 0;
        for (ReceivedTotals entry : mByOwner.values()) {
            lost += entry.mRow.dropBefore(oldest);
        }
        mByOwner.values().removeIf(ReceivedTotals::isDone);
        return lost;
    }

    private static final class ReceivedTotals {
        private final StartRow mRow;
        private final Map<WindowId, Long> mSequences = new TreeMap<>();
        private final Map<WindowId, Boolean> mOpenWindows = new TreeMap<>();
        private long mLastReceivedNanos;
        private long mLastWriteNanos = Long.MIN_VALUE / 2;

        ReceivedTotals(StartId owner) {
            mRow = new StartRow(owner);
        }

        void receive(UsageEvent.HandoverReceived handover) {
            long known = mSequences.getOrDefault(handover.window(), 0L);
            if (handover.sequence() <= known) {
                return;
            }
            mSequences.put(handover.window(), handover.sequence());
            mOpenWindows.put(handover.window(), !handover.totals().isEmpty());
            if (!handover.totals().isEmpty()) {
                mRow.mergeMax(handover.window(), handover.totals());
            }
        }

        boolean isDone() {
            boolean allInTable = mOpenWindows.values().stream().noneMatch(isOpen -> isOpen);
            return !mRow.isWriting() && (allInTable || mRow.isCommitted());
        }
    }
}
