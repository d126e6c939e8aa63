package org.fuchsialever.decisions.directory;

/**
 * A row of a mirrored table.
 *
 * @param key key of the row, unique in its table
 * @param value encoded content; empty if the row was removed
 * @param version store version of the write or removal
 * @param removed whether the row was removed
 */
public record MirrorRow(String key, byte[] value, long version, boolean removed) {}
