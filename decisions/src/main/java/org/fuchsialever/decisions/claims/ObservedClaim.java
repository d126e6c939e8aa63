package org.fuchsialever.decisions.claims;

/**
 * A claim that was read from the table service.
 *
 * @param claim the claim
 * @param version the version of its row
 * @param writer identity of the commit that wrote the row
 */
public record ObservedClaim(Claim claim, long version, String writer) {}
