package org.fuchsialever.node.keys;

import java.util.Set;
import java.util.function.Consumer;
import org.fuchsialever.decisions.model.KeyId;

/** Connects the keys of this instance with its peers. */
public interface KeyFeed {

    /** Reports keys that a peer names as withdrawn. */
    void onPeerWithdrawals(Set<KeyId> keys);

    /**
     * Reports the view of the other instances. While it is not called, only the table service
     * counts for the freshness of keys.
     *
     * @param listed the number of listed instances with this one
     * @param reachable the number of those that can be reached, with this one
     */
    void onMembershipChanged(int listed, int reachable);

    /** Adds a listener for withdrawals that peers may not know; called on the key duty's thread. */
    void addWithdrawalListener(Consumer<Set<KeyId>> listener);

    /** Returns the highest row version among the known keys, for heartbeats. */
    long keyVersion();
}
