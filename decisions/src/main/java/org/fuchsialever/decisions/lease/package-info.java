/**
 * Leases on roles, kept as rows of one table.
 *
 * <p>Three kinds of rows:
 *
 * <ul>
 *   <li>A session row for each instance that holds roles. Renewing means writing this row again, on
 *       the condition that it still has the version of the last renewal, so that one commit renews
 *       all roles of an instance. The key is used by one session only. A challenger that has
 *       observed one version for the full duration plus a drift bound marks the row as dead, on the
 *       condition of that version. Dead is final: every later renewal of the session conflicts, and
 *       the instance opens a new session under another key.
 *   <li>A role row names the session of the holder and the fencing number. It is written only when
 *       the role changes hands, never by a renewal, so it serves as the guard row: a commit under a
 *       lease is conditional on its version and does not conflict with renewals. A role is taken on
 *       the condition of the version of its row, which makes the fencing number grow by one with
 *       each holder, and only if the named session is dead, has been removed or gave the role up.
 *       The same commit renews (or creates) the session row of the taker on its last known version,
 *       so that a session that is already dead can gain nothing.
 *   <li>A bid row asks the holder of a role to hand it over to an instance with fewer roles.
 * </ul>
 *
 * <p>The right to act ends at the monotonic time before the renewing commit was first sent, plus
 * the duration, minus a margin. Observation starts when the answer of a read has arrived, hence
 * after the renewing commit. Both periods are measured on one clock each; margin and drift bound
 * cover clocks whose rates differ by up to 1% from real time each.
 */
@NullMarked
package org.fuchsialever.decisions.lease;

import org.jspecify.annotations.NullMarked;
