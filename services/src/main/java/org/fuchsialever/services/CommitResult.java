package org.fuchsialever.services;

import java.util.List;

/** Result of a commit. */
public sealed interface CommitResult {

    /**
     * The commit took effect.
     *
     * @param version the revision of the commit, which is the new version of every row that was put
     */
    record Committed(long version) implements CommitResult {}

    /**
     * A condition did not hold and nothing was changed.
     *
     * @param rows the current rows of the conditions that did not hold, without absent rows
     */
    record Conflict(List<Row> rows) implements CommitResult {

        /** Copies the rows. */
        public Conflict {
            rows = List.copyOf(rows);
        }
    }
}
