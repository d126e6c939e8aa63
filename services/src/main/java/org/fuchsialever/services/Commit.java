package org.fuchsialever.services;

import java.util.List;

/**
 * A conditional change of several rows.
 *
 * @param writer identity of this commit; a repeat of the same commit carries the same one
 * @param conditions versions that rows must have
 * @param puts rows to write
 * @param deletes rows to delete
 */
public record Commit(
        String writer, List<Condition> conditions, List<Put> puts, List<Delete> deletes) {

    /** Copies the lists. */
    public Commit {
        conditions = List.copyOf(conditions);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }

    /**
     * A row must have a version.
     *
     * @param table its table
     * @param key its key
     * @param version the version, 0 if the row must not exist
     */
    public record Condition(String table, String key, long version) {}

    /**
     * A row to write.
     *
     * @param table its table
     * @param key its key
     * @param value its new value
     */
    public record Put(String table, String key, String value) {}

    /**
     * A row to delete.
     *
     * @param table its table
     * @param key its key
     */
    public record Delete(String table, String key) {}
}
