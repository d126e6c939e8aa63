package org.fuchsialever.cli.tables;

import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.cli.platform.PlatformSession;
import org.fuchsialever.decisions.config.SnapshotText;
import org.fuchsialever.node.config.ConfigRows;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;

/** Reads and commits versions of the tables in the table service. */
final class StoredTables {
    private final PlatformSession mSession;
    private final TableService mTables;

    StoredTables(PlatformSession session) {
        mSession = session;
        mTables = session.platform().tables();
    }

    /** Returns the version in force, or version 0 if there is none. */
    CurrentVersion currentVersion() {
        return currentVersion(
                PlatformSession.await(mTables.read(ConfigRows.TABLE, ConfigRows.CURRENT)));
    }

    /** Returns the tables of a version; version 0 has empty tables. */
    SnapshotText read(long version) {
        if (version == 0) {
            return new SnapshotText(0, "", "");
        }
        Option<Row> row =
                PlatformSession.await(
                        mTables.read(ConfigRows.TABLE, ConfigRows.snapshotKey(version)));
        return row.toEither("the row does not exist or the read was stale")
                .flatMap(found -> SnapshotText.decode(found.value()))
                .getOrElseThrow(
                        problem ->
                                new IllegalStateException(
                                        "version " + version + " cannot be read: " + problem));
    }

    /** Commits new tables; returns the version in force if it is not {@code base}, else none. */
    Option<CurrentVersion> commit(CurrentVersion base, SnapshotText next) {
        Commit.Put snapshot =
                new Commit.Put(
                        ConfigRows.TABLE, ConfigRows.snapshotKey(next.version()), next.encode());
        Commit.Put current =
                new Commit.Put(ConfigRows.TABLE, ConfigRows.CURRENT, Long.toString(next.version()));
        Commit commit =
                new Commit(
                        mSession.writerId(),
                        List.of(
                                new Commit.Condition(
                                        ConfigRows.TABLE, ConfigRows.CURRENT, base.rowVersion()),
                                new Commit.Condition(snapshot.table(), snapshot.key(), 0)),
                        List.of(snapshot, current),
                        List.of());
        CommitResult result =
                PlatformSession.await(mSession.commitRetrier().commitWithMarker(commit, snapshot));
        if (result instanceof CommitResult.Conflict conflict) {
            return Option.some(
                    conflict.rows().stream()
                            .filter(row -> row.key().equals(ConfigRows.CURRENT))
                            .findFirst()
                            .map(row -> currentVersion(Option.some(row)))
                            .orElseGet(this::currentVersion));
        }
        return Option.none();
    }

    private static CurrentVersion currentVersion(Option<Row> row) {
        if (row.isEmpty()) {
            return new CurrentVersion(0, 0);
        }
        long version =
                ConfigRows.decodeVersion(row.get().value())
                        .getOrElseThrow(
                                () -> new IllegalStateException("the version row is damaged"));
        return new CurrentVersion(version, row.get().version());
    }

    /**
     * The version in force.
     *
     * @param version the configuration version; 0 if there is none
     * @param rowVersion the version of the row that names it
     */
    record CurrentVersion(long version, long rowVersion) {}
}
