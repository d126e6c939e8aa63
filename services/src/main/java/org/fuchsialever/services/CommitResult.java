package org.fuchsialever.services;

import java.util.List;

/** Answer to a commit. */
public sealed interface CommitResult {

    /**
     * The commit took effect.
     *
     * @param version the revision, which is now the version of every row that was put
     */
    record Committed(long version) implements CommitResult {}

    /**
     * A condition did not hold and nothing was changed.
     *
     * @param rows the present rows of the conditions that did not hold; absent rows are left out
     */
    record Conflict(List<Row> rows) implements CommitResult {

        /** Copies the rows. */
        public Conflict {
            rows = List.copyOf(rows);
        }
    }
}
