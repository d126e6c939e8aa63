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
 * Keeps the keys of an instance up to date. Withdrawals form a set that only grows, so that neither
 * a stale read nor a late message makes a withdrawn key valid again.
 */
public final class KeyDuty implements Duty<KeyEvent, KeyAction> {
    /**
     * Polls after which a withdrawal learnt from a peer is stored if the table does not show it.
     * The instance that the operator reached stores it at once; the others do so only if that
     * instance was lost, which keeps the number of writes low.
     */
    private static final int POLLS_BEFORE_STORING = 5;

    private final long pollNanos;
    private final long freshnessNanos;
    private final InvariantMonitor invariants;
    private final Map<KeyId, KeyRow> rows = new TreeMap<>();
    private final Set<KeyId> withdrawals = new HashSet<>();
    private final Map<KeyId, Integer> unstored = new TreeMap<>();
    private final PeerResponses<KeyEvent.PeerKeys> peers =
            new PeerResponses<>(answer -> newest(answer.rows()));

    private long nextPollNanos;
    private long lastContactNanos;
    private long version;
    private boolean informed;
    private boolean majorityReachable;
    private KeyView published = KeyView.NONE;

    /**
     * Creates the duty.
     *
     * @param pollInterval time between two reads of the keys
     * @param freshnessBound time without contact to the table service and to a majority of the
     *     instances after which keyed calls are refused
     * @param startNanos monotonic time of the first read in nanoseconds
     * @param invariants receives the result of checks
     */
    public KeyDuty(
            Duration pollInterval,
            Duration freshnessBound,
            long startNanos,
            InvariantMonitor invariants) {
        this.pollNanos = pollInterval.toNanos();
        this.freshnessNanos = freshnessBound.toNanos();
        this.nextPollNanos = startNanos;
        this.lastContactNanos = startNanos;
        this.invariants = invariants;
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
            if (!informed) {
                actions.emit(new AskPeers());
            }
        } else if (event instanceof KeyEvent.PeerWithdrawals peer) {
            withdraw(peer.keys(), POLLS_BEFORE_STORING, actions);
        } else if (event instanceof KeyEvent.OperatorWithdrawal operator) {
            withdraw(Set.of(operator.key()), 0, actions);
        } else if (event instanceof KeyEvent.WithdrawalStored stored) {
            unstored.remove(stored.key());
        } else if (event instanceof KeyEvent.MembershipChanged view) {
            onMembership(view, nowNanos);
        } else if (event instanceof KeyEvent.PeersListed list) {
            peers.setPeerCount(list.peers());
        } else if (event instanceof KeyEvent.PeerKeys answer) {
            onPeerKeys(answer, nowNanos, actions);
        }
        checkFreshness(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<KeyAction> actions) {
        if (nextPollNanos <= nowNanos) {
            nextPollNanos = nowNanos + pollNanos;
            actions.emit(new ReadKeys(version));
            storeDue(actions);
        }
        checkFreshness(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        if (!published.usable() || majorityReachable) {
            return nextPollNanos;
        }
        return Math.min(nextPollNanos, lastContactNanos + freshnessNanos);
    }

    private void onKeysRead(KeyEvent.KeysRead read, ActionSink<KeyAction> actions) {
        // Counted from the moment of asking: what happened after it may be missing in the answer.
        lastContactNanos = Math.max(lastContactNanos, read.sentNanos());
        boolean first = !informed;
        informed = true;
        merge(read.rows(), first, actions);
    }

    private void onPeerKeys(
            KeyEvent.PeerKeys answer, long nowNanos, ActionSink<KeyAction> actions) {
        withdraw(answer.withdrawals(), POLLS_BEFORE_STORING, actions);
        if (informed) {
            return;
        }
        peers.add(answer.peer(), answer.domain(), answer);
        for (KeyEvent.PeerKeys newest : peers.newest()) {
            informed = true;
            lastContactNanos = nowNanos;
            merge(newest.rows(), true, actions);
        }
    }

    private void onMembership(KeyEvent.MembershipChanged view, long nowNanos) {
        if (majorityReachable) {
            lastContactNanos = nowNanos;
        }
        majorityReachable = view.reachable() * 2 > view.listed();
        if (majorityReachable) {
            lastContactNanos = nowNanos;
        }
    }

    private void merge(Collection<KeyRow> read, boolean first, ActionSink<KeyAction> actions) {
        boolean changed = first;
        Set<KeyId> withdrawn = new HashSet<>();
        for (KeyRow row : read) {
            KeyId id = row.key().id();
            KeyRow earlier = rows.get(id);
            if (earlier == null || earlier.version() < row.version()) {
                rows.put(id, row);
                version = Math.max(version, row.version());
                changed = true;
            }
            if (row.key().withdrawn()) {
                unstored.remove(id);
                if (withdrawals.add(id)) {
                    withdrawn.add(id);
                }
            }
        }
        if (changed || !withdrawn.isEmpty()) {
            publish(published.usable(), actions);
        }
        withdrawn.forEach(id -> actions.emit(new EndCallsOfKey(id)));
    }

    private void withdraw(Set<KeyId> keys, int pollsBeforeStoring, ActionSink<KeyAction> actions) {
        Set<KeyId> added = new HashSet<>(keys);
        added.removeAll(withdrawals);
        if (pollsBeforeStoring == 0) {
            keys.stream().filter(id -> !isStored(id)).forEach(id -> unstored.put(id, 0));
        }
        if (!added.isEmpty()) {
            withdrawals.addAll(added);
            added.stream()
                    .filter(id -> !isStored(id))
                    .forEach(id -> unstored.putIfAbsent(id, pollsBeforeStoring));
            publish(published.usable(), actions);
            added.stream().sorted().forEach(id -> actions.emit(new EndCallsOfKey(id)));
            actions.emit(new BroadcastWithdrawals(added));
        }
        if (pollsBeforeStoring == 0) {
            keys.stream()
                    .filter(unstored::containsKey)
                    .forEach(id -> actions.emit(new StoreWithdrawal(id)));
        }
    }

    private void storeDue(ActionSink<KeyAction> actions) {
        unstored.replaceAll((id, polls) -> Math.max(0, polls - 1));
        unstored.forEach(
                (id, polls) -> {
                    if (polls == 0) {
                        actions.emit(new StoreWithdrawal(id));
                    }
                });
    }

    private boolean isStored(KeyId id) {
        KeyRow row = rows.get(id);
        return row != null && row.key().withdrawn();
    }

    private void checkFreshness(long nowNanos, ActionSink<KeyAction> actions) {
        boolean fresh = majorityReachable || nowNanos - lastContactNanos < freshnessNanos;
        boolean usable = informed && fresh;
        if (usable == published.usable()) {
            return;
        }
        publish(usable, actions);
        if (!usable) {
            actions.emit(new EndAllKeyedCalls());
        }
    }

    private void publish(boolean usable, ActionSink<KeyAction> actions) {
        List<KeyRecord> records = rows.values().stream().map(KeyRow::key).toList();
        KeyTable table = new KeyTable(records, withdrawals);
        for (KeyId id : withdrawals) {
            invariants.check(
                    Invariant.WITHDRAWN_KEY_STOPS,
                    table.isWithdrawn(id),
                    () -> "key " + id + " would be accepted after its withdrawal");
        }
        published = new KeyView(table, version, usable);
        actions.emit(new PublishKeyTable(published));
        if (informed) {
            // An instance without keys must not count among the peers that another one asks.
            actions.emit(new PublishKeysForPeers(List.copyOf(rows.values()), withdrawals));
        }
    }

    private static long newest(List<KeyRow> rows) {
        return rows.stream().mapToLong(KeyRow::version).max().orElse(0);
    }
}
