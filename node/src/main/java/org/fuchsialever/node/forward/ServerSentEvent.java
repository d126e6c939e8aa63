package org.fuchsialever.node.forward;

/**
 * One event of a stream.
 *
 * @param id its identity, empty if it has none
 * @param data its data
 * @param version the weight version from this event on, 0 if it names none
 * @param raw its bytes, including the empty line at its end
 */
public record ServerSentEvent(String id, String data, long version, byte[] raw) {}
