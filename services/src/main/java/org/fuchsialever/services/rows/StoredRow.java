package org.fuchsialever.services.rows;

/**
 * A row, or the record of its removal.
 *
 * @param value its content, empty if it was removed
 * @param version the version of the change that wrote or removed it
 */
public record StoredRow(RowKey key, byte[] value, long version, boolean removed) {}
