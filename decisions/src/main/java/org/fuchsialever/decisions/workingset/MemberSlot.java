package org.fuchsialever.decisions.workingset;

/**
 * A slot of the working set as it is stored.
 *
 * @param number number of the slot, from 0
 * @param instance the member that holds it
 * @param start ID of the member's process, which differs after a restart
 * @param leaving whether the member is shutting down
 * @param version version of the row
 */
public record MemberSlot(
        int number, String instance, String start, boolean leaving, long version) {}
