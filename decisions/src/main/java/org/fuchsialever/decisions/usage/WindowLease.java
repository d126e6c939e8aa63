package org.fuchsialever.decisions.usage;

/**
 * Lease on a role that closes windows.
 *
 * @param fencing fencing token, which grows with each holder
 * @param guardTable table of the guard row, which changes when another instance takes the lease
 * @param guardKey key of the guard row
 * @param guardVersion version of the guard row that commits under this lease require
 */
public record WindowLease(
        String role, long fencing, String guardTable, String guardKey, long guardVersion) {}
