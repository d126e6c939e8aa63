package org.fuchsialever.decisions.claims;

/**
 * A claim as read from the table service.
 *
 * @param version version of its row
 * @param writer ID of the commit that wrote the row
 */
public record ObservedClaim(Claim claim, long version, String writer) {}
