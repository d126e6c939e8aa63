package org.fuchsialever.node.keys;

import java.util.Set;
import java.util.function.Consumer;
import org.fuchsialever.decisions.model.KeyId;

/** Exchanges key state between the key duty and the peers of this instance. */
public interface KeyFeed {

    /** Reports keys that a peer announced as withdrawn. */
    void onPeerWithdrawals(Set<KeyId> keys);

    /**
     * Reports how many instances are reachable, which counts towards the freshness of keys. Until
     * the first call only reads of the table service count.
     *
     * @param listed the number of listed instances, including this one
     * @param reachable the number of listed instances that are reachable, including this one
     */
    void onMembershipChanged(int listed, int reachable);

    /** Adds a listener for withdrawals that peers may not know; runs on the key duty's thread. */
    void addWithdrawalListener(Consumer<Set<KeyId>> listener);

    /** Returns the highest row version among the known keys. */
    long keyVersion();
}
