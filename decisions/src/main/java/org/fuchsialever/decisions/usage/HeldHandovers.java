package org.fuchsialever.decisions.usage;

import io.vavr.control.Option;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.kernel.duty.ActionSink;

/** Totals that other instances handed over, written when their owner falls silent. */
final class HeldHandovers {
    private final int bound;
    private final TreeMap<StartId, Held> held = new TreeMap<>();

    HeldHandovers(int bound) {
        this.bound = bound;
    }

    /** Returns whether the hand-over was taken or is older than what is held. */
    boolean receive(UsageEvent.HandoverReceived handover, long nowNanos) {
        Held entry = held.get(handover.owner());
        if (entry == null) {
            if (handover.totals().isEmpty()) {
                return true;
            }
            if (held.size() >= bound) {
                return false;
            }
            entry = new Held(handover.owner());
            held.put(handover.owner(), entry);
        }
        entry.lastHeard = nowNanos;
        entry.receive(handover);
        if (entry.isDone()) {
            held.remove(handover.owner());
        }
        return true;
    }

    Option<StartRow> row(StartId owner) {
        return Option.of(held.get(owner)).map(entry -> entry.row);
    }

    /**
     * Writes the totals of silent starts. A start that only chose another receiver is written too,
     * which is harmless because the totals are absolute.
     */
    void writeSilent(long nowNanos, ActionSink<UsageAction> actions) {
        for (Held entry : held.values()) {
            if (nowNanos - entry.lastHeard >= UsageSettings.OWNER_TIMEOUT_NANOS
                    && nowNanos - entry.lastTried >= UsageSettings.COMMIT_INTERVAL_NANOS) {
                entry.lastTried = nowNanos;
                entry.row.write(nowNanos, actions);
            }
        }
    }

    void forgetIfWritten(StartId owner) {
        Held entry = held.get(owner);
        if (entry != null && entry.row.isCommitted()) {
            held.remove(owner);
        }
    }

    int dropBefore(WindowId oldest) {
        int lost = 0;
        for (Held entry : held.values()) {
            lost += entry.row.dropBefore(oldest);
        }
        held.values().removeIf(Held::isDone);
        return lost;
    }

    private static final class Held {
        private final StartRow row;
        private final Map<WindowId, Long> sequences = new TreeMap<>();
        private final Map<WindowId, Boolean> open = new TreeMap<>();
        private long lastHeard;
        private long lastTried = Long.MIN_VALUE / 2;

        Held(StartId owner) {
            row = new StartRow(owner);
        }

        void receive(UsageEvent.HandoverReceived handover) {
            long known = sequences.getOrDefault(handover.window(), 0L);
            if (handover.sequence() <= known) {
                return;
            }
            sequences.put(handover.window(), handover.sequence());
            open.put(handover.window(), !handover.totals().isEmpty());
            if (!handover.totals().isEmpty()) {
                row.raise(handover.window(), handover.totals());
            }
        }

        boolean isDone() {
            boolean allInTable = open.values().stream().noneMatch(isOpen -> isOpen);
            return !row.isWriting() && (allInTable || row.isCommitted());
        }
    }
}
