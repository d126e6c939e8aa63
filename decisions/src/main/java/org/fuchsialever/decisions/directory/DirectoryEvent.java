package org.fuchsialever.decisions.directory;

import java.util.List;

/** What the directory duty learns from the store. */
public sealed interface DirectoryEvent {

    /** Returns the table concerned. */
    DirectoryTable table();

    /** The whole table was read, as of a version. */
    record TableRead(DirectoryTable table, List<MirrorRow> rows, long version)
            implements DirectoryEvent {}

    /** The changes up to a version were read; there may be none. */
    record FeedRead(DirectoryTable table, List<MirrorRow> rows, long version)
            implements DirectoryEvent {}

    /** The store no longer knows the changes since the version that was asked for. */
    record HistoryLost(DirectoryTable table) implements DirectoryEvent {}

    /** A read failed or was not answered in time. */
    record ReadFailed(DirectoryTable table, String reason) implements DirectoryEvent {}
}
