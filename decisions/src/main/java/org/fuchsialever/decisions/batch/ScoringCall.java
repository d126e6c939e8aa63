package org.fuchsialever.decisions.batch;

/**
 * A call that scores the text of an item.
 *
 * @param id its request identity
 * @param host the host that selects its route
 * @param path its path
 * @param body its body
 */
public record ScoringCall(String id, String host, String path, byte[] body) {}
