package org.fuchsialever.node.lease;

import io.vavr.control.Option;
import java.time.Duration;

/** Roles that one instance at a time may hold. */
public interface Leases {

    /**
     * Requests a role from now on. The listener is called on the thread of the lease duty when the
     * role is acquired or lost; it must not block.
     */
    void request(String role, LeaseListener listener);

    /** Stops requesting a role and releases it. */
    void release(String role);

    /** Returns the lease of a role if this instance holds it and it is valid now. */
    Option<HeldLease> held(String role);

    /**
     * Returns the lease of a role if it is valid for at least the given time, so that a call that
     * takes no longer ends before another instance can act in the role.
     */
    Option<HeldLease> heldFor(String role, Duration time);

    /**
     * Returns whether a lease is valid now. Call this directly before an order is written, where
     * {@code Invariant.ONE_ORDERING_HOLDER} is checked; a role that was lost and acquired again
     * does not make an earlier lease valid.
     */
    default boolean isValid(HeldLease lease) {
        return held(lease.role()).exists(current -> current.fencing() == lease.fencing());
    }

    /** Is told of acquired and lost roles. */
    interface LeaseListener {

        /** The lease is valid from now on. */
        void onAcquired(HeldLease lease);

        /** The lease of the role is no longer valid. */
        void onLost(String role);
    }
}
