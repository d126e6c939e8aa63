/**
 * Leases on roles, kept as rows of one table.
 *
 * <p>Three kinds of rows:
 *
 * <ul>
 *   <li>A session row for each instance that holds roles. A renewal writes this row again, on the
 *       condition that it still has the version of the last renewal, so that one commit renews all
 *       roles of an instance. A key is never used by two sessions. A challenger that has observed
 *       the same version for the full lease duration plus a drift bound marks the row as dead, on
 *       the condition of that version. This is final: every later renewal of the session conflicts,
 *       and the instance opens a new session under another key.
 *   <li>A role row names the session of the holder and the fencing token. It is written only when
 *       the holder changes, never by a renewal, so it serves as the guard row: a commit under a
 *       lease is conditional on its version and does not conflict with renewals. A role is taken on
 *       the condition of the version of its row, so the fencing token increases by one with each
 *       holder, and only if the named session is dead, was removed or has released the role. The
 *       same commit renews (or creates) the session row of the new holder on its last known
 *       version, so that a session that is already dead cannot take a role.
 *   <li>A bid row asks the holder of a role to hand it over to an instance with fewer roles.
 * </ul>
 *
 * <p>A lease expires at the monotonic time read before the renewing commit was first sent, plus the
 * lease duration, minus a margin. An observation starts when the response to a read has arrived,
 * hence after the renewing commit. Each period is measured on a single clock; margin and drift
 * bound cover clocks that each deviate by up to 1% from real time.
 */
@NullMarked
package org.fuchsialever.decisions.lease;

import org.jspecify.annotations.NullMarked;
