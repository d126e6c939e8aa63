package org.fuchsialever.decisions.keys;

/**
 * A key as it was read.
 *
 * @param version the version of its row; higher is newer
 * @param key the key
 */
public record KeyRow(long version, KeyRecord key) {}
