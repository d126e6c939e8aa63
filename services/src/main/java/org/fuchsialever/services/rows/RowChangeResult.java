package org.fuchsialever.services.rows;

import java.util.List;

/** Result of a change. */
public sealed interface RowChangeResult {

    /**
     * The change took effect.
     *
     * @param version the new version of all rows that the change wrote
     */
    record Applied(long version) implements RowChangeResult {}

    /**
     * A condition did not hold and nothing was changed.
     *
     * @param currentRows the current rows of the conditions, without rows that do not exist
     */
    record Rejected(List<StoredRow> currentRows) implements RowChangeResult {

        /** Copies the list. */
        public Rejected {
            currentRows = List.copyOf(currentRows);
        }
    }
}
