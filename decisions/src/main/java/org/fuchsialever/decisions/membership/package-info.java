/**
 * View of the other instances: who is there, who is suspected, who is leaving.
 *
 * <p>Heartbeats carry a bounded number of member changes to {@code log2(n)+1} peers a second, so
 * that the cost of a node grows with the logarithm of the number of instances.
 */
@NullMarked
package org.fuchsialever.decisions.membership;

import org.jspecify.annotations.NullMarked;
