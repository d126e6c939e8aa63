package org.fuchsialever.node.lease;

/**
 * A lease that this instance holds.
 *
 * @param role the role, such as {@code trainer/alba}
 * @param fencing the fencing token, a number that grows with each holder
 * @param guardTable table of the row that changes when another instance acquires the lease
 * @param guardKey key of that row; a commit under the lease is conditional on this row
 * @param guardVersion the version of that row which such a commit names
 */
public record HeldLease(
        String role, long fencing, String guardTable, String guardKey, long guardVersion) {}
