package org.fuchsialever.node.lease;

import io.vavr.control.Option;

/** Roles that one instance at a time may hold. */
public interface Leases {

    /**
     * Asks for a role from now on. The listener is called on the thread of the lease duty when the
     * role is gained or lost; it must not block.
     */
    void request(String role, LeaseListener listener);

    /** Stops asking for a role and gives it up. */
    void release(String role);

    /** Returns the lease of a role if this instance holds it and may act under it now. */
    Option<HeldLease> held(String role);

    /**
     * Returns whether this instance may act under a lease now. Asked directly before an order is
     * written, where {@code Invariant.ONE_ORDERING_HOLDER} is checked; a role that was lost and
     * gained again does not make an earlier lease valid.
     */
    default boolean isValid(HeldLease lease) {
        return held(lease.role()).exists(current -> current.fencing() == lease.fencing());
    }

    /** Learns of gained and lost roles. */
    interface LeaseListener {

        /** This instance may act under the lease from now on. */
        void onAcquired(HeldLease lease);

        /** This instance must not act under the lease any more. */
        void onLost(String role);
    }
}
