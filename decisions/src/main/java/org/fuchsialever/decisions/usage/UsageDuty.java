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

    private final StartId mSelf;
    private final FailureDomain mDomain;
    private final UsageSettings mSettings;
    private final StartRow mOwnRow;
    private final ReceivedHandovers mReceivedHandovers;

    private long mNextHandoverNanos;
    private long mNextCommitNanos;
    private long mNewestWallMillis;
    private long mSequence;
    private long mSentChange;
    private int mHandoverCount;
    private Option<UsageEvent.Peer> mReceiver = Option.none();
    private Set<WindowId> mSentWindows = new TreeSet<>();
    private boolean mStopping;

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
        mSelf = self;
        mDomain = domain;
        mSettings = settings;
        mOwnRow = new StartRow(self);
        mReceivedHandovers = new ReceivedHandovers(settings.maxHandovers());
        mNextHandoverNanos = startNanos + UsageSettings.HANDOVER_INTERVAL_NANOS;
        mNextCommitNanos = startNanos + phaseNanos;
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
            if (!mReceivedHandovers.receive(handover, nowNanos)) {
                actions.emit(new UsageAction.Lost(Reason.TOO_MANY_HANDOVERS, 1));
            }
        } else if (event instanceof UsageEvent.PeersListed listed) {
            chooseReceiver(listed.peers());
        } else if (event instanceof UsageEvent.RowCommitted committed) {
            row(committed.owner())
                    .forEach(row -> row.committed(committed.version(), committed.change()));
            mReceivedHandovers.removeIfWritten(committed.owner());
            finishStop(committed.owner(), nowNanos, actions);
        } else if (event instanceof UsageEvent.RowConflicted conflict) {
            for (StartRow row : row(conflict.owner())) {
                row.conflicted(conflict.version(), conflict.current());
                row.write(nowNanos, actions);
            }
        } else if (event instanceof UsageEvent.RowFailed failure) {
            row(failure.owner()).forEach(StartRow::failed);
        } else if (event instanceof UsageEvent.Stop) {
            mStopping = true;
            mOwnRow.write(nowNanos, actions);
            finishStop(mSelf, nowNanos, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<UsageAction> actions) {
        if (mNextHandoverNanos <= nowNanos) {
            mNextHandoverNanos = nowNanos + UsageSettings.HANDOVER_INTERVAL_NANOS;
            actions.emit(new UsageAction.ListPeers());
            sendHandovers(actions);
            mReceivedHandovers.writeTimedOut(nowNanos, actions);
        }
        if (mNextCommitNanos <= nowNanos) {
            mNextCommitNanos = nowNanos + UsageSettings.COMMIT_INTERVAL_NANOS;
            expire(actions);
            mOwnRow.write(nowNanos, actions);
        }
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(mNextHandoverNanos, mNextCommitNanos);
    }

    private void count(UsageEvent.Used used, ActionSink<UsageAction> actions) {
        mNewestWallMillis = Math.max(mNewestWallMillis, used.wallMillis());
        WindowId window = WindowId.at(used.wallMillis(), mSettings.windowMillis());
        UsageTotals totals = mOwnRow.totals();
        if (totals.size() >= mSettings.maxTotals() && !totals.contains(window, used.key())) {
            actions.emit(new UsageAction.Lost(Reason.TOO_MANY_TOTALS, used.counts().requests()));
            return;
        }
        mOwnRow.add(window, used.key(), used.counts());
    }

    private void expire(ActionSink<UsageAction> actions) {
        WindowId oldest = mSettings.oldestOpen(mNewestWallMillis);
        int lost = mOwnRow.dropBefore(oldest) + mReceivedHandovers.dropBefore(oldest);
        if (lost > 0) {
            actions.emit(new UsageAction.Lost(Reason.WINDOW_EXPIRED, lost));
        }
    }

    /** Keeps the receiver while it is listed, so that one peer holds all uncommitted totals. */
    private void chooseReceiver(List<UsageEvent.Peer> peers) {
        if (mReceiver.exists(peers::contains)) {
            return;
        }
        Option<UsageEvent.Peer> next =
                Option.ofOptional(
                        peers.stream()
                                .filter(peer -> !peer.domain().equals(mDomain))
                                .min(
                                        Comparator.comparingLong(this::rank)
                                                .thenComparing(UsageEvent.Peer::instance)));
        if (!next.equals(mReceiver)) {
            mReceiver = next;
            mSentChange = 0;
            mSentWindows = new TreeSet<>();
        }
    }

    /** Returns a pseudo-random rank, which distributes the handovers of all instances evenly. */
    private long rank(UsageEvent.Peer peer) {
        return (mSelf.instance().value() + ">" + peer.instance().value()).hashCode();
    }

    private void sendHandovers(ActionSink<UsageAction> actions) {
        if (mReceiver.isEmpty()) {
            return;
        }
        TreeSet<WindowId> uncommitted = mOwnRow.uncommitted();
        TreeSet<WindowId> due = new TreeSet<>(uncommitted);
        if (mHandoverCount++ % FULL_HANDOVER_PERIOD != 0) {
            due.retainAll(mOwnRow.changedAfter(mSentChange));
            if (due.isEmpty() && !uncommitted.isEmpty()) {
                // Tells the receiver that this start is still alive.
                due.add(uncommitted.last());
            }
        }
        mSentChange = mOwnRow.lastChange();
        for (WindowId window : due) {
            sendHandover(window, mOwnRow.totals(), actions);
        }
        mSentWindows.removeAll(uncommitted);
        for (WindowId window : mSentWindows) {
            sendHandover(window, new UsageTotals(), actions);
        }
        mSentWindows = uncommitted;
    }

    private void sendHandover(
            WindowId window, UsageTotals totals, ActionSink<UsageAction> actions) {
        for (UsageEvent.Peer peer : mReceiver) {
            actions.emit(
                    new UsageAction.SendHandover(
                            peer.instance(), mSelf, window, ++mSequence, totals.of(window)));
        }
    }

    private void finishStop(StartId owner, long nowNanos, ActionSink<UsageAction> actions) {
        if (mStopping && owner.equals(mSelf) && !mOwnRow.isWriting()) {
            if (mOwnRow.isCommitted()) {
                actions.emit(new UsageAction.Stopped());
            } else {
                mOwnRow.write(nowNanos, actions);
            }
        }
    }

    private Option<StartRow> row(StartId owner) {
        return owner.equals(mSelf) ? Option.some(mOwnRow) : mReceivedHandovers.row(owner);
    }
}
