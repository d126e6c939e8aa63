package org.fuchsialever.node.forward;

/**
 * A server-sent event.
 *
 * @param id event ID, empty if it has none
 * @param data its data lines, joined by line feeds
 * @param version the weight version from this event on, 0 if it states none
 * @param raw the bytes of the event, including the empty line at its end
 */
public record ServerSentEvent(String id, String data, long version, byte[] raw) {}
