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
 * Counts usage as absolute totals of this start, hands uncommitted totals to a peer in another
 * failure domain each second, and writes one row every 10 s. Every writer of a row raises its
 * totals and never lowers them, so repeated and reordered writes are harmless.
 */
public final class UsageDuty implements Duty<UsageEvent, UsageAction> {
    /** Hand-overs may be lost; all uncommitted windows are repeated with every tenth one. */
    private static final int FULL_HANDOVER_PERIOD = 10;

    private final StartId self;
    private final FailureDomain domain;
    private final UsageSettings settings;
    private final StartRow own;
    private final HeldHandovers held;

    private long nextHandoverNanos;
    private long nextCommitNanos;
    private long newestWallMillis;
    private long sequence;
    private long handedChange;
    private int handovers;
    private Option<UsageEvent.Peer> receiver = Option.none();
    private Set<WindowId> handedWindows = new TreeSet<>();
    private boolean stopping;

    /**
     * Creates the duty.
     *
     * @param self this start
     * @param domain the failure domain of this instance
     * @param settings periods and bounds
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
        this.own = new StartRow(self);
        this.held = new HeldHandovers(settings.maxHandovers());
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
            if (!held.receive(handover, nowNanos)) {
                actions.emit(new UsageAction.Lost(Reason.TOO_MANY_HANDOVERS, 1));
            }
        } else if (event instanceof UsageEvent.PeersListed listed) {
            choosePeer(listed.peers());
        } else if (event instanceof UsageEvent.RowCommitted committed) {
            row(committed.owner())
                    .forEach(row -> row.committed(committed.version(), committed.change()));
            held.forgetIfWritten(committed.owner());
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
            own.write(nowNanos, actions);
            finishStop(self, nowNanos, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<UsageAction> actions) {
        if (nextHandoverNanos <= nowNanos) {
            nextHandoverNanos = nowNanos + UsageSettings.HANDOVER_INTERVAL_NANOS;
            actions.emit(new UsageAction.ListPeers());
            handOver(actions);
            held.writeSilent(nowNanos, actions);
        }
        if (nextCommitNanos <= nowNanos) {
            nextCommitNanos = nowNanos + UsageSettings.COMMIT_INTERVAL_NANOS;
            expire(actions);
            own.write(nowNanos, actions);
        }
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(nextHandoverNanos, nextCommitNanos);
    }

    private void count(UsageEvent.Used used, ActionSink<UsageAction> actions) {
        newestWallMillis = Math.max(newestWallMillis, used.wallMillis());
        WindowId window = WindowId.at(used.wallMillis(), settings.windowMillis());
        UsageTotals totals = own.totals();
        if (totals.size() >= settings.maxTotals() && !totals.contains(window, used.key())) {
            actions.emit(new UsageAction.Lost(Reason.TOO_MANY_TOTALS, used.counts().requests()));
            return;
        }
        own.add(window, used.key(), used.counts());
    }

    private void expire(ActionSink<UsageAction> actions) {
        WindowId oldest = settings.oldestOpen(newestWallMillis);
        int lost = own.dropBefore(oldest) + held.dropBefore(oldest);
        if (lost > 0) {
            actions.emit(new UsageAction.Lost(Reason.WINDOW_EXPIRED, lost));
        }
    }

    /** Keeps the receiver while it is listed, so that one peer knows all uncommitted totals. */
    private void choosePeer(List<UsageEvent.Peer> peers) {
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
            handedChange = 0;
            handedWindows = new TreeSet<>();
        }
    }

    /** Spreads the hand-overs of all instances over all receivers. */
    private long rank(UsageEvent.Peer peer) {
        return (self.instance().value() + ">" + peer.instance().value()).hashCode();
    }

    private void handOver(ActionSink<UsageAction> actions) {
        if (receiver.isEmpty()) {
            return;
        }
        TreeSet<WindowId> uncommitted = own.uncommitted();
        TreeSet<WindowId> due = new TreeSet<>(uncommitted);
        if (handovers++ % FULL_HANDOVER_PERIOD != 0) {
            due.retainAll(own.changedAfter(handedChange));
            if (due.isEmpty() && !uncommitted.isEmpty()) {
                // Shows the receiver that this start still runs.
                due.add(uncommitted.last());
            }
        }
        handedChange = own.lastChange();
        for (WindowId window : due) {
            send(window, own.totals(), actions);
        }
        handedWindows.removeAll(uncommitted);
        for (WindowId window : handedWindows) {
            send(window, new UsageTotals(), actions);
        }
        handedWindows = uncommitted;
    }

    private void send(WindowId window, UsageTotals totals, ActionSink<UsageAction> actions) {
        for (UsageEvent.Peer peer : receiver) {
            actions.emit(
                    new UsageAction.SendHandover(
                            peer.instance(), self, window, ++sequence, totals.of(window)));
        }
    }

    private void finishStop(StartId owner, long nowNanos, ActionSink<UsageAction> actions) {
        if (stopping && owner.equals(self) && !own.isWriting()) {
            if (own.isCommitted()) {
                actions.emit(new UsageAction.Stopped());
            } else {
                own.write(nowNanos, actions);
            }
        }
    }

    private Option<StartRow> row(StartId owner) {
        return owner.equals(self) ? Option.some(own) : held.row(owner);
    }
}
