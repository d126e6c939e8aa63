package org.fuchsialever.services;

/**
 * A row of the table service.
 *
 * @param version the revision of the commit that wrote it
 * @param writer ID of the commit that wrote it
 */
public record Row(String table, String key, long version, String value, String writer) {}
