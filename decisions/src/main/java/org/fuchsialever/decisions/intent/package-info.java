/**
 * Commands that are recorded as intents before they are executed.
 *
 * <p>All open intents of a role are stored in one journal row. Each write of this row is
 * conditional on the version of the row and on the guard row of the lease, so a holder that has
 * lost its lease cannot record intents. A new holder writes the row once before it sends commands:
 * if its read was stale, this write conflicts, and the conflict returns the current row. The row is
 * never deleted.
 *
 * <p>The command of an intent that a predecessor recorded may be in transit. If its receiver
 * ignores fencing tokens, it is sent again only after the receiver has dropped all connections of
 * the predecessor. An attempt without a response may likewise be in transit; its target gets no
 * other command until the receiver must have dropped that connection.
 */
@NullMarked
package org.fuchsialever.decisions.intent;

import org.jspecify.annotations.NullMarked;
