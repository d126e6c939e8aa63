package org.fuchsialever.decisions.batch;

/**
 * A call that scores the generated text of an item.
 *
 * @param id request ID of the call
 * @param host host name that, with the path, selects the route
 */
public record ScoringCall(String id, String host, String path, byte[] body) {}
