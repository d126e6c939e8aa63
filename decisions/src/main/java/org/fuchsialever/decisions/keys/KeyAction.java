package org.fuchsialever.decisions.keys;

import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.model.KeyId;

/** Actions of {@link KeyDuty}. */
public sealed interface KeyAction {

    /**
     * Read the rows of keys.
     *
     * @param afterVersion read rows with a higher version only
     */
    record ReadKeys(long afterVersion) implements KeyAction {}

    /** Ask all listed instances for the keys that they know. */
    record AskPeers() implements KeyAction {}

    /**
     * Check callers by this view from now on.
     *
     * @param view the view
     */
    record PublishKeyTable(KeyView view) implements KeyAction {}

    /**
     * End running calls and idle connections of a key.
     *
     * @param key the key
     */
    record EndCallsOfKey(KeyId key) implements KeyAction {}

    /** End running calls of all keys, because withdrawals cannot be learnt. */
    record EndAllKeyedCalls() implements KeyAction {}

    /**
     * Tell peers about withdrawals that they may not know.
     *
     * @param keys the keys
     */
    record BroadcastWithdrawals(Set<KeyId> keys) implements KeyAction {

        /** Copies the keys. */
        public BroadcastWithdrawals {
            keys = Set.copyOf(keys);
        }
    }

    /**
     * Write a withdrawal to the table service.
     *
     * @param key the key
     */
    record StoreWithdrawal(KeyId key) implements KeyAction {}

    /**
     * Content for peers that start without the table service.
     *
     * @param rows all keys
     * @param withdrawals all withdrawals
     */
    record PublishKeysForPeers(List<KeyRow> rows, Set<KeyId> withdrawals) implements KeyAction {

        /** Copies the collections. */
        public PublishKeysForPeers {
            rows = List.copyOf(rows);
            withdrawals = Set.copyOf(withdrawals);
        }
    }
}
