package org.fuchsialever.node.claims;

import org.fuchsialever.decisions.claims.Claim;

/**
 * A claim that this instance holds.
 *
 * @param row the key of its row
 * @param version the version of its row
 * @param claim the claim
 */
record HeldClaim(String row, long version, Claim claim) {}
