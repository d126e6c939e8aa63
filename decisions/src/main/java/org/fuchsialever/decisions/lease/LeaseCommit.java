package org.fuchsialever.decisions.lease;

import java.util.List;
import java.util.Map;

/**
 * A conditional, atomic change of the lease table. A repeat has the same content.
 *
 * @param writer unique ID of the commit, stored in each row that it writes
 * @param conditions required versions by key, 0 for a row that must not exist
 * @param puts rows to write; their version and writer are set by the table
 * @param deletes keys to delete
 */
public record LeaseCommit(
        String writer, Map<String, Long> conditions, List<LeaseRow> puts, List<String> deletes) {

    /** Copies the collections. */
    public LeaseCommit {
        conditions = Map.copyOf(conditions);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }
}
