package org.fuchsialever.standins;

/**
 * An order to load a weight version.
 *
 * @param orderId the identity of the order
 * @param fencing the fencing number of the sender
 * @param version the weight version
 */
public record EngineOrder(String orderId, long fencing, long version) {}
