package org.fuchsialever.services;

import java.util.List;

/**
 * A conditional change of several rows.
 *
 * @param writer ID of this commit; a retry of the same commit has the same ID
 * @param conditions versions that rows must have
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
     * The version that a row must have.
     *
     * @param version the version, 0 if the row must not exist
     */
    public record Condition(String table, String key, long version) {}

    /** A row to write. */
    public record Put(String table, String key, String value) {}

    /** A row to delete. */
    public record Delete(String table, String key) {}
}
