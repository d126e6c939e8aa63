package org.fuchsialever.decisions.lease;

/** Action of the lease duty. */
public sealed interface LeaseAction {

    /** Read the rows with a version above the given one; above 0 means all rows. */
    record ReadTable(long afterVersion) implements LeaseAction {}

    /** Send a commit; the answer is one of the events that carry its writer identity. */
    record WriteRows(LeaseCommit commit) implements LeaseAction {}

    /**
     * This instance may act in a role.
     *
     * @param role the role row, whose version guards commits under the lease
     * @param validUntilNanos monotonic time at which the right to act ends unless it is extended
     */
    record StartHolding(LeaseRow.Role role, long validUntilNanos) implements LeaseAction {}

    /** The right to act in all held roles ends at a later monotonic time. */
    record ExtendHolding(long validUntilNanos) implements LeaseAction {}

    /** This instance must not act in a role any more. */
    record StopHolding(String role) implements LeaseAction {}
}
