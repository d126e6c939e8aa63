package org.fuchsialever.decisions.directory;

/**
 * A row of a mirrored table.
 *
 * @param key its key
 * @param value its content; empty if the row is gone
 * @param version the version that wrote or removed it
 * @param removed whether the row is gone
 */
public record MirrorRow(String key, byte[] value, long version, boolean removed) {}
