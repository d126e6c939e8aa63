package org.fuchsialever.decisions.usage;

/**
 * Lease on a role for closing windows.
 *
 * @param role the role
 * @param fencing the fencing number, which grows with each holder
 * @param guardTable table of the row that changes when another instance takes the lease
 * @param guardKey key of that row
 * @param guardVersion version of that row under which commits may be made
 */
public record WindowLease(
        String role, long fencing, String guardTable, String guardKey, long guardVersion) {}
