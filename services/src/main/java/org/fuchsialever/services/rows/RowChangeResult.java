package org.fuchsialever.services.rows;

import java.util.List;

/** Answer to a change. */
public sealed interface RowChangeResult {

    /**
     * The change took effect.
     *
     * @param version the version of all rows that it wrote
     */
    record Applied(long version) implements RowChangeResult {}

    /**
     * A condition did not hold and nothing was changed.
     *
     * @param currentRows the present rows of the conditions; rows that do not exist are left out
     */
    record Rejected(List<StoredRow> currentRows) implements RowChangeResult {

        /** Copies the list. */
        public Rejected {
            currentRows = List.copyOf(currentRows);
        }
    }
}
