package org.fuchsialever.node.claims;

import org.fuchsialever.decisions.claims.Claim;

/**
 * A claim that this instance holds.
 *
 * @param version the row version that its next commit must find
 */
record HeldClaim(String row, long version, Claim claim) {}
