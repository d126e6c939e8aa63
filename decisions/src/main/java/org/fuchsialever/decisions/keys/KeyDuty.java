package org.fuchsialever.decisions.keys;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fuchsialever.decisions.config.PeerResponses;
import org.fuchsialever.decisions.keys.KeyAction.AskPeers;
import org.fuchsialever.decisions.keys.KeyAction.BroadcastWithdrawals;
import org.fuchsialever.decisions.keys.KeyAction.EndAllKeyedCalls;
import org.fuchsialever.decisions.keys.KeyAction.EndCallsOfKey;
import org.fuchsialever.decisions.keys.KeyAction.PublishKeyTable;
import org.fuchsialever.decisions.keys.KeyAction.PublishKeysForPeers;
import org.fuchsialever.decisions.keys.KeyAction.ReadKeys;
import org.fuchsialever.decisions.keys.KeyAction.StoreWithdrawal;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/**
 * Keeps the keys of an instance up to date. Withdrawals form a grow-only set, so that neither a
 * stale read nor a late message makes a withdrawn key valid again.
 */
public final class KeyDuty implements Duty<KeyEvent, KeyAction> {
    /**
     * Number of polls after which a withdrawal received from a peer is written to the table if it
     * is still missing there. The instance that the operator contacted writes it at once; the
     * others do so only if that instance was lost, which keeps the number of writes low.
     */
    private static final int POLLS_BEFORE_STORING = 5;

    private final long mPollNanos;
    private final long mFreshnessNanos;
    private final InvariantMonitor mInvariants;
    private final Map<KeyId, KeyRow> mRows = new TreeMap<>();
    private final Set<KeyId> mWithdrawals = new HashSet<>();
    private final Map<KeyId, Integer> mPollsUntilStored = new TreeMap<>();
    private final PeerResponses<KeyEvent.PeerKeys> mPeerResponses =
            new PeerResponses<>(response -> newest(response.rows()));

    private long mNextPollNanos;
    private long mLastContactNanos;
    private long mVersion;
    private boolean mKeysKnown;
    private boolean mMajorityReachable;
    private KeyView mPublished = KeyView.NONE;

    /**
     * Creates the duty.
     *
     * @param pollInterval time between two reads of the keys
     * @param freshnessBound time after which keyed calls are refused if neither the table service
     *     nor a majority of the instances was reachable
     * @param startNanos monotonic time of the first read in nanoseconds
     * @param invariants receives the results of checks
     */
    public KeyDuty(
            Duration pollInterval,
            Duration freshnessBound,
            long startNanos,
            InvariantMonitor invariants) {
        mPollNanos = pollInterval.toNanos();
        mFreshnessNanos = freshnessBound.toNanos();
        mNextPollNanos = startNanos;
        mLastContactNanos = startNanos;
        mInvariants = invariants;
    }

    @Override
    public String dutyName() {
        return "keys";
    }

    @Override
    public void onEvent(KeyEvent event, long nowNanos, ActionSink<KeyAction> actions) {
        if (event instanceof KeyEvent.KeysRead read) {
            onKeysRead(read, actions);
        } else if (event instanceof KeyEvent.ReadFailed) {
            if (!mKeysKnown) {
                actions.emit(new AskPeers());
            }
        } else if (event instanceof KeyEvent.PeerWithdrawals peer) {
            withdraw(peer.keys(), POLLS_BEFORE_STORING, actions);
        } else if (event instanceof KeyEvent.OperatorWithdrawal operator) {
            withdraw(Set.of(operator.key()), 0, actions);
        } else if (event instanceof KeyEvent.WithdrawalStored stored) {
            mPollsUntilStored.remove(stored.key());
        } else if (event instanceof KeyEvent.MembershipChanged view) {
            onMembership(view, nowNanos);
        } else if (event instanceof KeyEvent.PeersListed list) {
            mPeerResponses.setPeerCount(list.peers());
        } else if (event instanceof KeyEvent.PeerKeys response) {
            onPeerKeys(response, nowNanos, actions);
        }
        checkFreshness(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<KeyAction> actions) {
        if (mNextPollNanos <= nowNanos) {
            mNextPollNanos = nowNanos + mPollNanos;
            actions.emit(new ReadKeys(mVersion));
            storeDue(actions);
        }
        checkFreshness(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        if (!mPublished.usable() || mMajorityReachable) {
            return mNextPollNanos;
        }
        return Math.min(mNextPollNanos, mLastContactNanos + mFreshnessNanos);
    }

    private void onKeysRead(KeyEvent.KeysRead read, ActionSink<KeyAction> actions) {
        // Counted from when the read was sent: the response may lack later changes.
        mLastContactNanos = Math.max(mLastContactNanos, read.sentNanos());
        boolean first = !mKeysKnown;
        mKeysKnown = true;
        merge(read.rows(), first, actions);
    }

    private void onPeerKeys(
            KeyEvent.PeerKeys response, long nowNanos, ActionSink<KeyAction> actions) {
        withdraw(response.withdrawals(), POLLS_BEFORE_STORING, actions);
        if (mKeysKnown) {
            return;
        }
        mPeerResponses.add(response.peer(), response.domain(), response);
        for (KeyEvent.PeerKeys newest : mPeerResponses.newest()) {
            mKeysKnown = true;
            mLastContactNanos = nowNanos;
            merge(newest.rows(), true, actions);
        }
    }

    private void onMembership(KeyEvent.MembershipChanged view, long nowNanos) {
        if (mMajorityReachable) {
            mLastContactNanos = nowNanos;
        }
        mMajorityReachable = view.reachable() * 2 > view.listed();
        if (mMajorityReachable) {
            mLastContactNanos = nowNanos;
        }
    }

    private void merge(Collection<KeyRow> read, boolean first, ActionSink<KeyAction> actions) {
        boolean changed = first;
        Set<KeyId> withdrawn = new HashSet<>();
        for (KeyRow row : read) {
            KeyId id = row.key().id();
            KeyRow earlier = mRows.get(id);
            if (earlier == null || earlier.version() < row.version()) {
                mRows.put(id, row);
                mVersion = Math.max(mVersion, row.version());
                changed = true;
            }
            if (row.key().withdrawn()) {
                mPollsUntilStored.remove(id);
                if (mWithdrawals.add(id)) {
                    withdrawn.add(id);
                }
            }
        }
        if (changed || !withdrawn.isEmpty()) {
            publish(mPublished.usable(), actions);
        }
        withdrawn.forEach(id -> actions.emit(new EndCallsOfKey(id)));
    }

    private void withdraw(Set<KeyId> keys, int pollsBeforeStoring, ActionSink<KeyAction> actions) {
        Set<KeyId> added = new HashSet<>(keys);
        added.removeAll(mWithdrawals);
        if (pollsBeforeStoring == 0) {
            keys.stream().filter(id -> !isStored(id)).forEach(id -> mPollsUntilStored.put(id, 0));
        }
        if (!added.isEmpty()) {
            mWithdrawals.addAll(added);
            added.stream()
                    .filter(id -> !isStored(id))
                    .forEach(id -> mPollsUntilStored.putIfAbsent(id, pollsBeforeStoring));
            publish(mPublished.usable(), actions);
            added.stream().sorted().forEach(id -> actions.emit(new EndCallsOfKey(id)));
            actions.emit(new BroadcastWithdrawals(added));
        }
        if (pollsBeforeStoring == 0) {
            keys.stream()
                    .filter(mPollsUntilStored::containsKey)
                    .forEach(id -> actions.emit(new StoreWithdrawal(id)));
        }
    }

    private void storeDue(ActionSink<KeyAction> actions) {
        mPollsUntilStored.replaceAll((id, polls) -> Math.max(0, polls - 1));
        mPollsUntilStored.forEach(
                (id, polls) -> {
                    if (polls == 0) {
                        actions.emit(new StoreWithdrawal(id));
                    }
                });
    }

    private boolean isStored(KeyId id) {
        KeyRow row = mRows.get(id);
        return row != null && row.key().withdrawn();
    }

    private void checkFreshness(long nowNanos, ActionSink<KeyAction> actions) {
        boolean fresh = mMajorityReachable || nowNanos - mLastContactNanos < mFreshnessNanos;
        boolean usable = mKeysKnown && fresh;
        if (usable == mPublished.usable()) {
            return;
        }
        publish(usable, actions);
        if (!usable) {
            actions.emit(new EndAllKeyedCalls());
        }
    }

    private void publish(boolean usable, ActionSink<KeyAction> actions) {
        List<KeyRecord> records = mRows.values().stream().map(KeyRow::key).toList();
        KeyTable table = new KeyTable(records, mWithdrawals);
        for (KeyId id : mWithdrawals) {
            mInvariants.check(
                    Invariant.WITHDRAWN_KEY_STOPS,
                    table.isWithdrawn(id),
                    () -> "key " + id + " would be accepted after its withdrawal");
        }
        mPublished = new KeyView(table, mVersion, usable);
        actions.emit(new PublishKeyTable(mPublished));
        if (mKeysKnown) {
            // An instance that knows no keys yet must not respond to starting peers.
            actions.emit(new PublishKeysForPeers(List.copyOf(mRows.values()), mWithdrawals));
        }
    }

    private static long newest(List<KeyRow> rows) {
        return rows.stream().mapToLong(KeyRow::version).max().orElse(0);
    }
}
