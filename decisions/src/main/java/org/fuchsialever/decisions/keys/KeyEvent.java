package org.fuchsialever.decisions.keys;

import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;

/** Events of {@link KeyDuty}. */
public sealed interface KeyEvent {

    /**
     * Rows of keys were read; the read may be stale.
     *
     * @param rows the rows that are newer than the version that was asked for
     * @param sentNanos monotonic time in nanoseconds at which the read was sent
     */
    record KeysRead(List<KeyRow> rows, long sentNanos) implements KeyEvent {

        /** Copies the rows. */
        public KeysRead {
            rows = List.copyOf(rows);
        }
    }

    /** A read failed. */
    record ReadFailed() implements KeyEvent {}

    /**
     * A peer names keys that are withdrawn.
     *
     * @param keys the keys
     */
    record PeerWithdrawals(Set<KeyId> keys) implements KeyEvent {

        /** Copies the keys. */
        public PeerWithdrawals {
            keys = Set.copyOf(keys);
        }
    }

    /**
     * An operator withdraws a key at this instance.
     *
     * @param key the key
     */
    record OperatorWithdrawal(KeyId key) implements KeyEvent {}

    /**
     * A withdrawal is in the table of the table service.
     *
     * @param key the key
     */
    record WithdrawalStored(KeyId key) implements KeyEvent {}

    /**
     * The view of the other instances.
     *
     * @param listed the number of listed instances with this one
     * @param reachable the number of those that can be reached, with this one
     */
    record MembershipChanged(int listed, int reachable) implements KeyEvent {}

    /**
     * The instance list was read.
     *
     * @param peers the number of listed instances without this one
     */
    record PeersListed(int peers) implements KeyEvent {}

    /**
     * A peer answered with all keys that it knows.
     *
     * @param peer its name
     * @param domain its failure domain
     * @param rows its keys
     * @param withdrawals its withdrawals
     */
    record PeerKeys(
            InstanceId peer, FailureDomain domain, List<KeyRow> rows, Set<KeyId> withdrawals)
            implements KeyEvent {

        /** Copies the collections. */
        public PeerKeys {
            rows = List.copyOf(rows);
            withdrawals = Set.copyOf(withdrawals);
        }
    }
}
