package org.fuchsialever.decisions.directory;

import java.util.List;

/** Action that the directory duty emits. */
public sealed interface DirectoryAction {

    /** Reads all rows of a table. */
    record ReadTable(DirectoryTable table) implements DirectoryAction {}

    /** Reads the changes after a version from the change feed. */
    record ReadFeed(DirectoryTable table, long afterVersion) implements DirectoryAction {}

    /**
     * Rows have changed; each is newer than the last one published under its key, and no two of
     * them have the same key.
     */
    record Changed(DirectoryTable table, List<MirrorRow> rows) implements DirectoryAction {}

    /**
     * The mirror of a table is up to date.
     *
     * @param asOfNanos when the read was sent, in monotonic nanoseconds; what was written before is
     *     in the mirror
     */
    record UpToDate(DirectoryTable table, long asOfNanos) implements DirectoryAction {}

    /** The store has stopped answering reads of the table. */
    record StoreUnreachable(DirectoryTable table, String reason) implements DirectoryAction {}

    /** The store answers reads of the table again after a failure. */
    record StoreReachable(DirectoryTable table) implements DirectoryAction {}
}
