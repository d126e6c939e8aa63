package org.fuchsialever.decisions.lease;

import java.util.List;

/** Event that the lease duty handles. */
public sealed interface LeaseEvent {

    /** This instance competes for a role from now on. */
    record RoleRequested(String role) implements LeaseEvent {}

    /**
     * This instance competes for roles from now on, or releases all and competes for none.
     *
     * @param active whether it competes
     */
    record ParticipationChanged(boolean active) implements LeaseEvent {}

    /** This instance releases a role and no longer competes for it. */
    record RoleReleased(String role) implements LeaseEvent {}

    /**
     * A read succeeded.
     *
     * @param full whether the rows are all rows of the table, not only newer ones
     * @param rows the rows, possibly stale
     */
    record TableRead(boolean full, List<LeaseRow> rows) implements LeaseEvent {

        /** Copies the list. */
        public TableRead {
            rows = List.copyOf(rows);
        }
    }

    /** A read failed or timed out. */
    record ReadFailed() implements LeaseEvent {}

    /** A commit was applied and its rows now have this version. */
    record Committed(String writer, long version) implements LeaseEvent {}

    /**
     * A commit was rejected because a condition did not hold.
     *
     * @param rows the current rows of the conditions that did not hold
     */
    record Conflicted(String writer, List<LeaseRow> rows) implements LeaseEvent {

        /** Copies the list. */
        public Conflicted {
            rows = List.copyOf(rows);
        }
    }

    /** A commit failed or timed out; it may have been applied or may still be applied. */
    record WriteOutcomeUnknown(String writer) implements LeaseEvent {}
}
