package org.fuchsialever.cli.load;

/**
 * Where calls go.
 *
 * @param name the name in the output
 * @param liveUrl the URL of live calls
 * @param plainUrl the URL of plain calls
 * @param key the key sent with the calls, or empty; upstreams must not see one
 */
record LoadTarget(String name, String liveUrl, String plainUrl, String key) {}
