package org.fuchsialever.decisions.keys;

import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;

/** Events of {@link KeyDuty}. */
public sealed interface KeyEvent {

    /**
     * Key rows were read; the read may be stale.
     *
     * @param rows rows that are newer than the requested version
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

    /** A peer reported keys as withdrawn. */
    record PeerWithdrawals(Set<KeyId> keys) implements KeyEvent {

        /** Copies the keys. */
        public PeerWithdrawals {
            keys = Set.copyOf(keys);
        }
    }

    /** An operator withdrew a key through this instance. */
    record OperatorWithdrawal(KeyId key) implements KeyEvent {}

    /** A withdrawal was written to the table service. */
    record WithdrawalStored(KeyId key) implements KeyEvent {}

    /**
     * The view of the other instances changed.
     *
     * @param listed number of listed instances, including this one
     * @param reachable number of those that are reachable, including this one
     */
    record MembershipChanged(int listed, int reachable) implements KeyEvent {}

    /**
     * The instance list was read.
     *
     * @param peers number of listed instances, excluding this one
     */
    record PeersListed(int peers) implements KeyEvent {}

    /**
     * A peer responded with all keys and withdrawals that it knows.
     *
     * @param domain failure domain of the peer
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
