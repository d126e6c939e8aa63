package org.fuchsialever.decisions.workingset;

/** Action that the duty of the working set emits. */
public sealed interface WorkingSetAction {

    /**
     * Writes a slot for this instance.
     *
     * @param slot number of the slot
     * @param version the version that its row must have, 0 if there must be none
     * @param leaving whether this instance is shutting down
     */
    record WriteSlot(int slot, long version, boolean leaving) implements WorkingSetAction {}

    /** This instance has become a member or is one no longer. */
    record MembershipChanged(boolean member) implements WorkingSetAction {}
}
