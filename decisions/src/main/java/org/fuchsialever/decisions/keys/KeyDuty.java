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

    private final long pollNanos;
    private final long freshnessNanos;
    private final InvariantMonitor invariants;
    private final Map<KeyId, KeyRow> rows = new TreeMap<>();
    private final Set<KeyId> withdrawals = new HashSet<>();
    private final Map<KeyId, Integer> pollsUntilStored = new TreeMap<>();
    private final PeerResponses<KeyEvent.PeerKeys> peerResponses =
            new PeerResponses<>(response -> newest(response.rows()));

    private long nextPollNanos;
    private long lastContactNanos;
    private long version;
    private boolean keysKnown;
    private boolean majorityReachable;
    private KeyView published = KeyView.NONE;

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
            if (!keysKnown) {
                actions.emit(new AskPeers());
            }
        } else if (event instanceof KeyEvent.PeerWithdrawals peer) {
            withdraw(peer.keys(), POLLS_BEFORE_STORING, actions);
        } else if (event instanceof KeyEvent.OperatorWithdrawal operator) {
            withdraw(Set.of(operator.key()), 0, actions);
        } else if (event instanceof KeyEvent.WithdrawalStored stored) {
            pollsUntilStored.remove(stored.key());
        } else if (event instanceof KeyEvent.MembershipChanged view) {
            onMembership(view, nowNanos);
        } else if (event instanceof KeyEvent.PeersListed list) {
            peerResponses.setPeerCount(list.peers());
        } else if (event instanceof KeyEvent.PeerKeys response) {
            onPeerKeys(response, nowNanos, actions);
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
        // Counted from when the read was sent: the response may lack later changes.
        lastContactNanos = Math.max(lastContactNanos, read.sentNanos());
        boolean first = !keysKnown;
        keysKnown = true;
        merge(read.rows(), first, actions);
    }

    private void onPeerKeys(
            KeyEvent.PeerKeys response, long nowNanos, ActionSink<KeyAction> actions) {
        withdraw(response.withdrawals(), POLLS_BEFORE_STORING, actions);
        if (keysKnown) {
            return;
        }
        peerResponses.add(response.peer(), response.domain(), response);
        for (KeyEvent.PeerKeys newest : peerResponses.newest()) {
            keysKnown = true;
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
                pollsUntilStored.remove(id);
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
            keys.stream().filter(id -> !isStored(id)).forEach(id -> pollsUntilStored.put(id, 0));
        }
        if (!added.isEmpty()) {
            withdrawals.addAll(added);
            added.stream()
                    .filter(id -> !isStored(id))
                    .forEach(id -> pollsUntilStored.putIfAbsent(id, pollsBeforeStoring));
            publish(published.usable(), actions);
            added.stream().sorted().forEach(id -> actions.emit(new EndCallsOfKey(id)));
            actions.emit(new BroadcastWithdrawals(added));
        }
        if (pollsBeforeStoring == 0) {
            keys.stream()
                    .filter(pollsUntilStored::containsKey)
                    .forEach(id -> actions.emit(new StoreWithdrawal(id)));
        }
    }

    private void storeDue(ActionSink<KeyAction> actions) {
        pollsUntilStored.replaceAll((id, polls) -> Math.max(0, polls - 1));
        pollsUntilStored.forEach(
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
        boolean usable = keysKnown && fresh;
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
        if (keysKnown) {
            // An instance that knows no keys yet must not respond to starting peers.
            actions.emit(new PublishKeysForPeers(List.copyOf(rows.values()), withdrawals));
        }
    }

    private static long newest(List<KeyRow> rows) {
        return rows.stream().mapToLong(KeyRow::version).max().orElse(0);
    }
}
