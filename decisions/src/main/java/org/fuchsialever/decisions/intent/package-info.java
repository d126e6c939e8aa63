/**
 * Acts that are recorded as intents before they are carried out.
 *
 * <p>All open intents of a role are one journal row. Each change of this row is conditional on the
 * row's version and on the guard row of the lease, so a holder that has lost its lease can record
 * nothing. A new holder writes the row once before it acts: a stale read conflicts there, and the
 * conflict returns the present row. The row is never deleted.
 *
 * <p>An intent that a predecessor recorded may be in transit. If its receiver ignores fencing
 * numbers, it is sent again only after the receiver has dropped every connection of the
 * predecessor. An attempt without an answer may be in transit in the same way; its target gets no
 * other act until the receiver must have dropped that connection.
 */
@NullMarked
package org.fuchsialever.decisions.intent;

import org.jspecify.annotations.NullMarked;
