package org.fuchsialever.services;

/**
 * One row.
 *
 * @param table its table
 * @param key its key
 * @param version the revision that wrote it
 * @param value its value
 * @param writer identity of the commit that wrote it
 */
public record Row(String table, String key, long version, String value, String writer) {}
