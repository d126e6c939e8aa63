package org.fuchsialever.services.rows;

/**
 * A row, or the fact that it was removed.
 *
 * @param key its name
 * @param value its content, empty if it was removed
 * @param version the version that wrote or removed it
 * @param removed whether it is gone
 */
public record StoredRow(RowKey key, byte[] value, long version, boolean removed) {}
