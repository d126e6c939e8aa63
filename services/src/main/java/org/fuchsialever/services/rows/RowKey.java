package org.fuchsialever.services.rows;

/** Identifies a row by its table and its key within the table. */
public record RowKey(String table, String key) {}
