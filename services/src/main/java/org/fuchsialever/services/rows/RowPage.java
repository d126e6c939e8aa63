package org.fuchsialever.services.rows;

import java.util.List;

/**
 * Part of a consistent snapshot of the rows or changes of a table.
 *
 * @param rows the rows in the order of their keys, or changes in the order of their versions
 * @param hasMore whether further rows follow
 * @param version the newest version in the snapshot
 * @param storeClockMillis monotonic clock of the store at the time of the snapshot, in milliseconds
 */
public record RowPage(List<StoredRow> rows, boolean hasMore, long version, long storeClockMillis) {

    /** Copies the list. */
    public RowPage {
        rows = List.copyOf(rows);
    }
}
