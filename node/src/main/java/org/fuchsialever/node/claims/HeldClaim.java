package org.fuchsialever.node.claims;

import org.fuchsialever.decisions.claims.Claim;

/**
 * A claim that this instance holds.
 *
 * @param rowVersion the row version that its next commit must find
 */
record HeldClaim(String rowKey, long rowVersion, Claim claim) {}
