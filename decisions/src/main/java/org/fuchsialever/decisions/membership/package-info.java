/**
 * Membership: which instances are alive, suspected or leaving.
 *
 * <p>Heartbeats carry a limited number of member changes to {@code log2(n)+1} peers a second, so
 * that the cost per instance grows with the logarithm of the number of instances.
 */
@NullMarked
package org.fuchsialever.decisions.membership;

import org.jspecify.annotations.NullMarked;
