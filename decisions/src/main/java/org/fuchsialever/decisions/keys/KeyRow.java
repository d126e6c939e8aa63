package org.fuchsialever.decisions.keys;

/**
 * A key as read from its row.
 *
 * @param version version of the row; a higher one is newer
 */
public record KeyRow(long version, KeyRecord key) {}
