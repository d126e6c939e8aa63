package org.fuchsialever.decisions.keys;

import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.model.KeyId;

/** Actions of {@link KeyDuty}. */
public sealed interface KeyAction {

    /**
     * Read key rows.
     *
     * @param afterVersion only rows with a higher version are read
     */
    record ReadKeys(long afterVersion) implements KeyAction {}

    /** Request the known keys from all listed instances. */
    record AskPeers() implements KeyAction {}

    /** Replace the view by which callers are checked. */
    record PublishKeyTable(KeyView view) implements KeyAction {}

    /** Terminate running calls and idle connections of a key. */
    record EndCallsOfKey(KeyId key) implements KeyAction {}

    /** Terminate running calls of all keys, because withdrawals may have been missed. */
    record EndAllKeyedCalls() implements KeyAction {}

    /** Send withdrawals that peers may not know to all peers. */
    record BroadcastWithdrawals(Set<KeyId> keys) implements KeyAction {

        /** Copies the keys. */
        public BroadcastWithdrawals {
            keys = Set.copyOf(keys);
        }
    }

    /** Write a withdrawal to the table service. */
    record StoreWithdrawal(KeyId key) implements KeyAction {}

    /** Replace the keys and withdrawals that peers without the table service can request. */
    record PublishKeysForPeers(List<KeyRow> rows, Set<KeyId> withdrawals) implements KeyAction {

        /** Copies the collections. */
        public PublishKeysForPeers {
            rows = List.copyOf(rows);
            withdrawals = Set.copyOf(withdrawals);
        }
    }
}
