package org.fuchsialever.node.directory;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.directory.DirectoryAction;
import org.fuchsialever.decisions.directory.DirectoryEvent;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.decisions.directory.MirrorRow;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.node.batch.BatchRows;
import org.fuchsialever.node.directory.Directory.VersionedPresence;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.Declaration;
import org.fuchsialever.services.hosted.HostedServices;
import org.fuchsialever.services.rows.HistoryLostException;
import org.fuchsialever.services.rows.RowPage;
import org.fuchsialever.services.rows.StoredRow;
import reactor.core.publisher.Mono;

/** Reads tables for the directory duty and applies the rows that it accepts. */
final class DirectoryActions implements ActionSink<DirectoryAction> {
    private static final String PART = "directory";
    private static final int PAGE_ROWS = 500;

    /** How long the store may hold a feed read; 1.5 s later it counts as unreachable. */
    private static final Duration FEED_WAIT = Duration.ofMillis(1_000);

    private final HostedServices mServices;
    private final Directory mDirectory;
    private final StoreClock mClock;
    private final TraceLog mTrace;
    private final MeterRegistry mMeters;
    private final ActionSink<DirectoryEvent> mDuty;

    DirectoryActions(
            HostedServices services,
            Directory directory,
            StoreClock clock,
            TraceLog trace,
            MeterRegistry meters,
            ActionSink<DirectoryEvent> duty) {
        mServices = services;
        mDirectory = directory;
        mClock = clock;
        mTrace = trace;
        mMeters = meters;
        mDuty = duty;
    }

    @Override
    public void emit(DirectoryAction action) {
        if (action instanceof DirectoryAction.ReadTable read) {
            readRange(read.table());
        } else if (action instanceof DirectoryAction.ReadFeed read) {
            readFeed(read.table(), read.afterVersion());
        } else if (action instanceof DirectoryAction.Changed changed) {
            apply(changed.table(), changed.rows());
        } else if (action instanceof DirectoryAction.UpToDate current) {
            mDirectory.markCurrent(current.table());
            if (current.table() == DirectoryTable.DECLARATIONS) {
                mDirectory.notifyManifestCurrent(current.asOfNanos());
            } else if (current.table() == DirectoryTable.BATCHES) {
                mDirectory.notifyBatchTableAvailability(true);
            } else if (current.table() == DirectoryTable.INSTANCES) {
                mDirectory.notifyPresencesCurrent();
            }
        } else if (action instanceof DirectoryAction.StoreUnreachable lost) {
            mTrace.line(PART, "store-lost")
                    .with("table", lost.table().name())
                    .with("reason", lost.reason())
                    .with("ageMillis", mDirectory.stalenessMillis(lost.table()))
                    .write();
            if (lost.table() == DirectoryTable.BATCHES) {
                mDirectory.notifyBatchTableAvailability(false);
            }
        } else if (action instanceof DirectoryAction.StoreReachable regained) {
            mTrace.line(PART, "store-regained")
                    .with("table", regained.table().name())
                    .with("ageMillis", mDirectory.stalenessMillis(regained.table()))
                    .write();
        }
    }

    private void readRange(DirectoryTable table) {
        String name = mServices.directory().tableName(table);
        readPages(name, "", new ArrayList<>(), -1)
                .subscribe(
                        page -> {
                            mClock.observe(page.storeClockMillis());
                            mDuty.emit(
                                    new DirectoryEvent.TableRead(
                                            table, toMirrorRows(page.rows()), page.version()));
                        },
                        failure -> reportFailure(table, failure));
    }

    /** Reads all pages; changes since the first one are read through the feed. */
    private Mono<RowPage> readPages(
            String table, String from, List<StoredRow> found, long firstVersion) {
        return mServices
                .rows()
                .range(table, from, "", PAGE_ROWS)
                .flatMap(
                        page -> {
                            found.addAll(page.rows());
                            long version = firstVersion < 0 ? page.version() : firstVersion;
                            if (!page.hasMore() || page.rows().isEmpty()) {
                                return Mono.just(
                                        new RowPage(
                                                found, false, version, page.storeClockMillis()));
                            }
                            String last = found.get(found.size() - 1).key().key();
                            return readPages(table, last + "\u0001", found, version);
                        });
    }

    private void readFeed(DirectoryTable table, long after) {
        mServices
                .rows()
                .changes(mServices.directory().tableName(table), after, FEED_WAIT)
                .subscribe(
                        page -> {
                            mClock.observe(page.storeClockMillis());
                            mDuty.emit(
                                    new DirectoryEvent.FeedRead(
                                            table, toMirrorRows(page.rows()), page.version()));
                        },
                        failure -> reportFailure(table, failure));
    }

    private void reportFailure(DirectoryTable table, Throwable failure) {
        if (failure instanceof HistoryLostException) {
            mTrace.line(PART, "history-lost").with("table", table.name()).write();
            mDuty.emit(new DirectoryEvent.HistoryLost(table));
        } else {
            mDuty.emit(new DirectoryEvent.ReadFailed(table, String.valueOf(failure.getMessage())));
        }
    }

    private static List<MirrorRow> toMirrorRows(List<StoredRow> rows) {
        return rows.stream()
                .map(
                        row ->
                                new MirrorRow(
                                        row.key().key(), row.value(), row.version(), row.removed()))
                .toList();
    }

    private void apply(DirectoryTable table, List<MirrorRow> rows) {
        switch (table) {
            case DECLARATIONS -> rows.forEach(this::applyDeclaration);
            case UPSTREAMS -> applyUpstreams(rows);
            case BATCHES -> applyBatchStates(rows);
            case INSTANCES -> applyPresences(rows);
        }
    }

    private void applyDeclaration(MirrorRow row) {
        if (row.removed()) {
            return;
        }
        Either<String, Declaration> read =
                read(() -> mServices.directory().readDeclaration(row.key(), row.value()));
        if (read.isLeft()) {
            reportUnreadable(DirectoryTable.DECLARATIONS, row, read.getLeft());
        } else if (read.get() instanceof Declaration.ManifestDeclared declared) {
            boolean newer = mDirectory.replaceManifest(declared.manifest());
            mTrace.line(PART, newer ? "manifest-in-force" : "manifest-ignored")
                    .with("version", declared.manifest().version())
                    .with("routes", declared.manifest().routeCount())
                    .with("keys", declared.manifest().keyCount())
                    .write();
        } else if (read.get() instanceof Declaration.VersionAnnounced version) {
            mDirectory.updateVersion(version.model(), version.version());
            mTrace.line(PART, "version-named")
                    .with("model", version.model())
                    .with("version", version.version())
                    .write();
        }
    }

    private void applyUpstreams(List<MirrorRow> rows) {
        List<FleetUpstream> listed = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        for (MirrorRow row : rows) {
            if (row.removed()) {
                removed.add(row.key());
                mTrace.line(PART, "upstream-gone").with("upstream", row.key()).write();
                continue;
            }
            Either<String, FleetUpstream> read =
                    read(() -> mServices.directory().readUpstream(row.key(), row.value()));
            if (read.isLeft()) {
                removed.add(row.key());
                reportUnreadable(DirectoryTable.UPSTREAMS, row, read.getLeft());
            } else {
                listed.add(read.get());
                traceUpstream(read.get());
            }
        }
        mDirectory.changeUpstreams(listed, removed);
    }

    /** Upstreams write their rows all the time, but few of them are leaving. */
    private void traceUpstream(FleetUpstream upstream) {
        TraceLog.Line line =
                upstream.serving()
                        ? mTrace.sampled(PART, "upstream")
                        : mTrace.line(PART, "upstream");
        line.with("upstream", upstream.id())
                .with("service", upstream.service())
                .with("serving", String.valueOf(upstream.serving()))
                .with("versions", upstream.versions().toString())
                .with("ageMillis", mDirectory.stalenessMillis(DirectoryTable.UPSTREAMS))
                .write();
    }

    private void applyBatchStates(List<MirrorRow> rows) {
        List<VersionedState> changed = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        for (MirrorRow row : rows) {
            if (row.removed()) {
                removed.add(row.key());
                continue;
            }
            read(() -> BatchRows.decodeState(row.value()))
                    .peek(state -> changed.add(new VersionedState(state, row.version())))
                    .peekLeft(problem -> reportUnreadable(DirectoryTable.BATCHES, row, problem));
        }
        mDirectory.changeBatchStates(changed, removed);
    }

    private void applyPresences(List<MirrorRow> rows) {
        List<VersionedPresence> changed = new ArrayList<>();
        List<Integer> removed = new ArrayList<>();
        for (MirrorRow row : rows) {
            if (row.removed()) {
                Presence.slotOf(row.key()).forEach(removed::add);
                continue;
            }
            read(() -> Presence.decode(row.key(), row.value()))
                    .peek(presence -> changed.add(new VersionedPresence(presence, row.version())))
                    .peekLeft(problem -> reportUnreadable(DirectoryTable.INSTANCES, row, problem));
        }
        mDirectory.changePresences(changed, removed);
    }

    /** Any program may write rows; one that its reader fails on must not end the feed. */
    private static <T> Either<String, T> read(Supplier<Either<String, T>> reader) {
        try {
            return reader.get();
        } catch (RuntimeException e) {
            return Either.left("cannot be decoded: " + e);
        }
    }

    private void reportUnreadable(DirectoryTable table, MirrorRow row, String problem) {
        mMeters.counter("fuchsialever.directory.unreadable", "table", table.name()).increment();
        mTrace.line(PART, "row-unreadable")
                .with("table", table.name())
                .with("key", row.key())
                .with("problem", problem)
                .write();
    }
}
