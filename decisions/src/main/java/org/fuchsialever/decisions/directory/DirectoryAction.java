package org.fuchsialever.decisions.directory;

import java.util.List;

/** What the directory duty decides. */
public sealed interface DirectoryAction {

    /** Reads a whole table. */
    record ReadTable(DirectoryTable table) implements DirectoryAction {}

    /** Waits for changes after a version. */
    record ReadFeed(DirectoryTable table, long afterVersion) implements DirectoryAction {}

    /** Rows have changed; each row is newer than the one before. */
    record Changed(DirectoryTable table, List<MirrorRow> rows) implements DirectoryAction {}

    /** The table is up to date as of now. */
    record UpToDate(DirectoryTable table) implements DirectoryAction {}

    /** The store stopped answering reads of the table. */
    record StoreUnreachable(DirectoryTable table, String reason) implements DirectoryAction {}

    /** The store answers reads of the table again. */
    record StoreReachable(DirectoryTable table) implements DirectoryAction {}
}
