package org.fuchsialever.decisions.lease;

import java.util.List;

/** Event of the lease duty. */
public sealed interface LeaseEvent {

    /** This instance asks for a role from now on. */
    record RoleRequested(String role) implements LeaseEvent {}

    /** This instance gives a role up and asks for it no more. */
    record RoleReleased(String role) implements LeaseEvent {}

    /**
     * A read was answered.
     *
     * @param full whether the answer has all rows, not only newer ones
     * @param rows the rows, possibly stale
     */
    record TableRead(boolean full, List<LeaseRow> rows) implements LeaseEvent {

        /** Copies the list. */
        public TableRead {
            rows = List.copyOf(rows);
        }
    }

    /** A read failed or was not answered in time. */
    record ReadFailed() implements LeaseEvent {}

    /** A commit took effect at a version. */
    record Committed(String writer, long version) implements LeaseEvent {}

    /**
     * A commit changed nothing because a condition did not hold.
     *
     * @param rows the present rows of the conditions that did not hold
     */
    record Conflicted(String writer, List<LeaseRow> rows) implements LeaseEvent {

        /** Copies the list. */
        public Conflicted {
            rows = List.copyOf(rows);
        }
    }

    /** A commit failed or was not answered in time; it may take effect now or later. */
    record WriteOutcomeUnknown(String writer) implements LeaseEvent {}
}
