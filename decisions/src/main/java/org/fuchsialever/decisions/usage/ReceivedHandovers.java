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
    private final int maxOwners;
    private final TreeMap<StartId, ReceivedTotals> byOwner = new TreeMap<>();

    ReceivedHandovers(int bound) {
        this.maxOwners = bound;
    }

    /** Returns false if the handover is dropped because too many starts are held already. */
    boolean receive(UsageEvent.HandoverReceived handover, long nowNanos) {
        ReceivedTotals entry = byOwner.get(handover.owner());
        if (entry == null) {
            if (handover.totals().isEmpty()) {
                return true;
            }
            if (byOwner.size() >= maxOwners) {
                return false;
            }
            entry = new ReceivedTotals(handover.owner());
            byOwner.put(handover.owner(), entry);
        }
        entry.lastReceivedNanos = nowNanos;
        entry.receive(handover);
        if (entry.isDone()) {
            byOwner.remove(handover.owner());
        }
        return true;
    }

    Option<StartRow> row(StartId owner) {
        return Option.of(byOwner.get(owner)).map(entry -> entry.row);
    }

    /**
     * Writes the totals of starts that sent no handover within the timeout. These include starts
     * that chose another receiver, which is harmless because the totals are absolute.
     */
    void writeTimedOut(long nowNanos, ActionSink<UsageAction> actions) {
        for (ReceivedTotals entry : byOwner.values()) {
            if (nowNanos - entry.lastReceivedNanos >= UsageSettings.OWNER_TIMEOUT_NANOS
                    && nowNanos - entry.lastWriteNanos >= UsageSettings.COMMIT_INTERVAL_NANOS) {
                entry.lastWriteNanos = nowNanos;
                entry.row.write(nowNanos, actions);
            }
        }
    }

    void removeIfWritten(StartId owner) {
        ReceivedTotals entry = byOwner.get(owner);
        if (entry != null && entry.row.isCommitted()) {
            byOwner.remove(owner);
        }
    }

    int dropBefore(WindowId oldest) {
        int lost = 0;
        for (ReceivedTotals entry : byOwner.values()) {
            lost += entry.row.dropBefore(oldest);
        }
        byOwner.values().removeIf(ReceivedTotals::isDone);
        return lost;
    }

    private static final class ReceivedTotals {
        private final StartRow row;
        private final Map<WindowId, Long> sequences = new TreeMap<>();
        private final Map<WindowId, Boolean> openWindows = new TreeMap<>();
        private long lastReceivedNanos;
        private long lastWriteNanos = Long.MIN_VALUE / 2;

        ReceivedTotals(StartId owner) {
            row = new StartRow(owner);
        }

        void receive(UsageEvent.HandoverReceived handover) {
            long known = sequences.getOrDefault(handover.window(), 0L);
            if (handover.sequence() <= known) {
                return;
            }
            sequences.put(handover.window(), handover.sequence());
            openWindows.put(handover.window(), !handover.totals().isEmpty());
            if (!handover.totals().isEmpty()) {
                row.mergeMax(handover.window(), handover.totals());
            }
        }

        boolean isDone() {
            boolean allInTable = openWindows.values().stream().noneMatch(isOpen -> isOpen);
            return !row.isWriting() && (allInTable || row.isCommitted());
        }
    }
}
