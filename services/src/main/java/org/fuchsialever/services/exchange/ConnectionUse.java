package org.fuchsialever.services.exchange;

/**
 * The connection of an exchange.
 *
 * @param connection number of the connection in this process
 * @param earlierExchanges how many requests were sent on it before
 */
public record ConnectionUse(long connection, int earlierExchanges) {}
