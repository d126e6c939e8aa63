package org.fuchsialever.services.rows;

/**
 * Names a row.
 *
 * @param table its table
 * @param key its key within the table
 */
public record RowKey(String table, String key) {}
