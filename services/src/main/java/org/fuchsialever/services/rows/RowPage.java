package org.fuchsialever.services.rows;

import java.util.List;

/**
 * Rows as of one moment.
 *
 * @param rows the rows in the order of their keys, or changes in the order of their versions
 * @param hasMore whether further rows follow
 * @param version the newest version at that moment
 * @param storeClockMillis steady clock of the store at that moment, in milliseconds
 */
public record RowPage(List<StoredRow> rows, boolean hasMore, long version, long storeClockMillis) {

    /** Copies the list. */
    public RowPage {
        rows = List.copyOf(rows);
    }
}
