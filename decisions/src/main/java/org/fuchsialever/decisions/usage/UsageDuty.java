package org.fuchsialever.decisions.usage;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.usage.UsageAction.Reason;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Counts usage as absolute totals of this start, sends uncommitted totals to a peer in another
 * failure domain every second, and writes one row every 10 s. Totals in a row never decrease, so
 * repeated and reordered writes are harmless.
 */
public final class UsageDuty implements Duty<UsageEvent, UsageAction> {
    /** Handovers may be lost, so every tenth one repeats all uncommitted windows. */
    private static final int FULL_HANDOVER_PERIOD = 10;

    private final StartId self;
    private final FailureDomain domain;
    private final UsageSettings settings;
    private final StartRow ownRow;
    private final ReceivedHandovers receivedHandovers;

    private long nextHandoverNanos;
    private long nextCommitNanos;
    private long newestWallMillis;
    private long sequence;
    private long sentChange;
    private int handoverCount;
    private Option<UsageEvent.Peer> receiver = Option.none();
    private Set<WindowId> sentWindows = new TreeSet<>();
    private boolean stopping;

    /**
     * Creates the duty.
     *
     * @param self this start
     * @param domain the failure domain of this instance
     * @param settings intervals and limits
     * @param startNanos monotonic time in nanoseconds
     * @param phaseNanos delay of the first commit, to spread the commits of the instances
     */
    public UsageDuty(
            StartId self,
            FailureDomain domain,
            UsageSettings settings,
            long startNanos,
            long phaseNanos) {
        this.self = self;
        this.domain = domain;
        this.settings = settings;
        this.ownRow = new StartRow(self);
        this.receivedHandovers = new ReceivedHandovers(settings.maxHandovers());
        this.nextHandoverNanos = startNanos + UsageSettings.HANDOVER_INTERVAL_NANOS;
        this.nextCommitNanos = startNanos + phaseNanos;
    }

    @Override
    public String dutyName() {
        return "usage";
    }

    @Override
    public void onEvent(UsageEvent event, long nowNanos, ActionSink<UsageAction> actions) {
        if (event instanceof UsageEvent.Used used) {
            count(used, actions);
        } else if (event instanceof UsageEvent.HandoverReceived handover) {
            if (!receivedHandovers.receive(handover, nowNanos)) {
                actions.emit(new UsageAction.Lost(Reason.TOO_MANY_HANDOVERS, 1));
            }
        } else if (event instanceof UsageEvent.PeersListed listed) {
            chooseReceiver(listed.peers());
        } else if (event instanceof UsageEvent.RowCommitted committed) {
            row(committed.owner())
                    .forEach(row -> row.committed(committed.version(), committed.change()));
            receivedHandovers.removeIfWritten(committed.owner());
            finishStop(committed.owner(), nowNanos, actions);
        } else if (event instanceof UsageEvent.RowConflicted conflict) {
            for (StartRow row : row(conflict.owner())) {
                row.conflicted(conflict.version(), conflict.current());
                row.write(nowNanos, actions);
            }
        } else if (event instanceof UsageEvent.RowFailed failure) {
            row(failure.owner()).forEach(StartRow::failed);
        } else if (event instanceof UsageEvent.Stop) {
            stopping = true;
            ownRow.write(nowNanos, actions);
            finishStop(self, nowNanos, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<UsageAction> actions) {
        if (nextHandoverNanos <= nowNanos) {
            nextHandoverNanos = nowNanos + UsageSettings.HANDOVER_INTERVAL_NANOS;
            actions.emit(new UsageAction.ListPeers());
            sendHandovers(actions);
            receivedHandovers.writeTimedOut(nowNanos, actions);
        }
        if (nextCommitNanos <= nowNanos) {
            nextCommitNanos = nowNanos + UsageSettings.COMMIT_INTERVAL_NANOS;
            expire(actions);
            ownRow.write(nowNanos, actions);
        }
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(nextHandoverNanos, nextCommitNanos);
    }

    private void count(UsageEvent.Used used, ActionSink<UsageAction> actions) {
        newestWallMillis = Math.max(newestWallMillis, used.wallMillis());
        WindowId window = WindowId.at(used.wallMillis(), settings.windowMillis());
        UsageTotals totals = ownRow.totals();
        if (totals.size() >= settings.maxTotals() && !totals.contains(window, used.key())) {
            actions.emit(new UsageAction.Lost(Reason.TOO_MANY_TOTALS, used.counts().requests()));
            return;
        }
        ownRow.add(window, used.key(), used.counts());
    }

    private void expire(ActionSink<UsageAction> actions) {
        WindowId oldest = settings.oldestOpen(newestWallMillis);
        int lost = ownRow.dropBefore(oldest) + receivedHandovers.dropBefore(oldest);
        if (lost > 0) {
            actions.emit(new UsageAction.Lost(Reason.WINDOW_EXPIRED, lost));
        }
    }

    /** Keeps the receiver while it is listed, so that one peer holds all uncommitted totals. */
    private void chooseReceiver(List<UsageEvent.Peer> peers) {
        if (receiver.exists(peers::contains)) {
            return;
        }
        Option<UsageEvent.Peer> next =
                Option.ofOptional(
                        peers.stream()
                                .filter(peer -> !peer.domain().equals(domain))
                                .min(
                                        Comparator.comparingLong(this::rank)
                                                .thenComparing(UsageEvent.Peer::instance)));
        if (!next.equals(receiver)) {
            receiver = next;
            sentChange = 0;
            sentWindows = new TreeSet<>();
        }
    }

    /** Returns a pseudo-random rank, which distributes the handovers of all instances evenly. */
    private long rank(UsageEvent.Peer peer) {
        return (self.instance().value() + ">" + peer.instance().value()).hashCode();
    }

    private void sendHandovers(ActionSink<UsageAction> actions) {
        if (receiver.isEmpty()) {
            return;
        }
        TreeSet<WindowId> uncommitted = ownRow.uncommitted();
        TreeSet<WindowId> due = new TreeSet<>(uncommitted);
        if (handoverCount++ % FULL_HANDOVER_PERIOD != 0) {
            due.retainAll(ownRow.changedAfter(sentChange));
            if (due.isEmpty() && !uncommitted.isEmpty()) {
                // Tells the receiver that this start is still alive.
                due.add(uncommitted.last());
            }
        }
        sentChange = ownRow.lastChange();
        for (WindowId window : due) {
            sendHandover(window, ownRow.totals(), actions);
        }
        sentWindows.removeAll(uncommitted);
        for (WindowId window : sentWindows) {
            sendHandover(window, new UsageTotals(), actions);
        }
        sentWindows = uncommitted;
    }

    private void sendHandover(
            WindowId window, UsageTotals totals, ActionSink<UsageAction> actions) {
        for (UsageEvent.Peer peer : receiver) {
            actions.emit(
                    new UsageAction.SendHandover(
                            peer.instance(), self, window, ++sequence, totals.of(window)));
        }
    }

    private void finishStop(StartId owner, long nowNanos, ActionSink<UsageAction> actions) {
        if (stopping && owner.equals(self) && !ownRow.isWriting()) {
            if (ownRow.isCommitted()) {
                actions.emit(new UsageAction.Stopped());
            } else {
                ownRow.write(nowNanos, actions);
            }
        }
    }

    private Option<StartRow> row(StartId owner) {
        return owner.equals(self) ? Option.some(ownRow) : receivedHandovers.row(owner);
    }
}
