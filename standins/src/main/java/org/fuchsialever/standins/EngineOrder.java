package org.fuchsialever.standins;

/**
 * An order to load a weight version.
 *
 * @param orderId the ID of the order
 * @param fencing the fencing token of the sender
 * @param version the weight version to load
 */
public record EngineOrder(String orderId, long fencing, long version) {}
