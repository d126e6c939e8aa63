package org.fuchsialever.decisions.lease;

/** Action that the lease duty emits. */
public sealed interface LeaseAction {

    /** Reads the rows with a version above the given one; 0 reads all rows. */
    record ReadTable(long afterVersion) implements LeaseAction {}

    /** Sends a commit; the result is one of the events that carry its writer ID. */
    record WriteRows(LeaseCommit commit) implements LeaseAction {}

    /**
     * This instance now holds a role.
     *
     * @param role the role row; commits under the lease are conditional on its version
     * @param validUntilNanos monotonic time at which the lease expires unless it is extended
     */
    record StartHolding(LeaseRow.Role role, long validUntilNanos) implements LeaseAction {}

    /** Extends the leases on all held roles to a later monotonic time. */
    record ExtendHolding(long validUntilNanos) implements LeaseAction {}

    /** This instance must not act in a role any more, with immediate effect. */
    record StopHolding(String role) implements LeaseAction {}
}
