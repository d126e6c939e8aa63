package org.fuchsialever.node.directory;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.directory.DirectoryAction;
import org.fuchsialever.decisions.directory.DirectoryEvent;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.decisions.directory.MirrorRow;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.node.batch.BatchRows;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.Declaration;
import org.fuchsialever.services.hosted.HostedServices;
import org.fuchsialever.services.rows.HistoryLostException;
import org.fuchsialever.services.rows.RowPage;
import org.fuchsialever.services.rows.StoredRow;
import reactor.core.publisher.Mono;

/** Reads tables for the directory duty and applies what it has accepted. */
final class DirectoryActions implements ActionSink<DirectoryAction> {
    private static final String PART = "directory";
    private static final int PAGE = 500;

    /** A store that has not answered for this long and 1.5 s more counts as silent. */
    private static final Duration FEED_WAIT = Duration.ofMillis(1_000);

    private final HostedServices services;
    private final Directory directory;
    private final StoreClock clock;
    private final TraceLog trace;
    private final MeterRegistry meters;
    private final ActionSink<DirectoryEvent> duty;

    DirectoryActions(
            HostedServices services,
            Directory directory,
            StoreClock clock,
            TraceLog trace,
            MeterRegistry meters,
            ActionSink<DirectoryEvent> duty) {
        this.services = services;
        this.directory = directory;
        this.clock = clock;
        this.trace = trace;
        this.meters = meters;
        this.duty = duty;
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
            directory.markCurrent(current.table());
            if (current.table() == DirectoryTable.BATCHES) {
                directory.batchContact(true);
            }
        } else if (action instanceof DirectoryAction.StoreUnreachable lost) {
            trace.line(PART, "store-lost")
                    .with("table", lost.table().name())
                    .with("reason", lost.reason())
                    .with("ageMillis", directory.stalenessMillis(lost.table()))
                    .write();
            if (lost.table() == DirectoryTable.BATCHES) {
                directory.batchContact(false);
            }
        } else if (action instanceof DirectoryAction.StoreReachable regained) {
            trace.line(PART, "store-regained").with("table", regained.table().name()).write();
        }
    }

    private void readRange(DirectoryTable table) {
        String name = services.directory().tableName(table);
        readPages(name, "", new ArrayList<>(), -1)
                .subscribe(
                        page -> {
                            clock.observe(page.storeClockMillis());
                            duty.emit(
                                    new DirectoryEvent.TableRead(
                                            table, mirror(page.rows()), page.version()));
                        },
                        failure -> failed(table, failure));
    }

    /** Reads all pages; changes since the first one are read again through the feed. */
    private Mono<RowPage> readPages(
            String table, String from, List<StoredRow> found, long firstVersion) {
        return services.rows()
                .range(table, from, "", PAGE)
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
        services.rows()
                .changes(services.directory().tableName(table), after, FEED_WAIT)
                .subscribe(
                        page -> {
                            clock.observe(page.storeClockMillis());
                            duty.emit(
                                    new DirectoryEvent.FeedRead(
                                            table, mirror(page.rows()), page.version()));
                        },
                        failure -> failed(table, failure));
    }

    private void failed(DirectoryTable table, Throwable failure) {
        if (failure instanceof HistoryLostException) {
            trace.line(PART, "history-lost").with("table", table.name()).write();
            duty.emit(new DirectoryEvent.HistoryLost(table));
        } else {
            duty.emit(new DirectoryEvent.ReadFailed(table, String.valueOf(failure.getMessage())));
        }
    }

    private static List<MirrorRow> mirror(List<StoredRow> rows) {
        return rows.stream()
                .map(
                        row ->
                                new MirrorRow(
                                        row.key().key(), row.value(), row.version(), row.removed()))
                .toList();
    }

    private void apply(DirectoryTable table, List<MirrorRow> rows) {
        switch (table) {
            case DECLARATIONS -> rows.forEach(this::declaration);
            case UPSTREAMS -> upstreams(rows);
            case BATCHES -> heads(rows);
            case INSTANCES -> presences(rows);
        }
    }

    private void declaration(MirrorRow row) {
        if (row.removed()) {
            return;
        }
        Either<String, Declaration> read =
                services.directory().readDeclaration(row.key(), row.value());
        if (read.isLeft()) {
            unreadable(DirectoryTable.DECLARATIONS, row, read.getLeft());
        } else if (read.get() instanceof Declaration.ManifestDeclared declared) {
            boolean newer = directory.replaceManifest(declared.manifest());
            trace.line(PART, newer ? "manifest-in-force" : "manifest-ignored")
                    .with("version", declared.manifest().version())
                    .with("routes", declared.manifest().routeCount())
                    .with("keys", declared.manifest().keyCount())
                    .write();
        } else if (read.get() instanceof Declaration.VersionAnnounced version) {
            directory.replaceVersion(version.model(), version.version());
            trace.line(PART, "version-named")
                    .with("model", version.model())
                    .with("version", version.version())
                    .write();
        }
    }

    private void upstreams(List<MirrorRow> rows) {
        List<FleetUpstream> listed = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        for (MirrorRow row : rows) {
            if (row.removed()) {
                gone.add(row.key());
                trace.line(PART, "upstream-gone").with("upstream", row.key()).write();
                continue;
            }
            Either<String, FleetUpstream> read =
                    services.directory().readUpstream(row.key(), row.value());
            if (read.isLeft()) {
                gone.add(row.key());
                unreadable(DirectoryTable.UPSTREAMS, row, read.getLeft());
            } else {
                listed.add(read.get());
                trace.sampled(PART, "upstream")
                        .with("upstream", row.key())
                        .with("service", read.get().service())
                        .with("serving", String.valueOf(read.get().serving()))
                        .with("versions", read.get().versions().toString())
                        .write();
            }
        }
        directory.changeUpstreams(listed, gone);
    }

    private void heads(List<MirrorRow> rows) {
        List<VersionedState> changed = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        for (MirrorRow row : rows) {
            if (row.removed()) {
                removed.add(row.key());
                continue;
            }
            BatchRows.decodeState(row.value())
                    .peek(head -> changed.add(new VersionedState(head, row.version())))
                    .peekLeft(problem -> unreadable(DirectoryTable.BATCHES, row, problem));
        }
        directory.changeBatchStates(changed, removed);
    }

    private void presences(List<MirrorRow> rows) {
        List<Presence> changed = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        for (MirrorRow row : rows) {
            if (row.removed()) {
                gone.add(row.key());
                continue;
            }
            Presence.decode(row.key(), row.value())
                    .peek(changed::add)
                    .peekLeft(problem -> unreadable(DirectoryTable.INSTANCES, row, problem));
        }
        directory.changePresences(changed, gone);
    }

    private void unreadable(DirectoryTable table, MirrorRow row, String problem) {
        meters.counter("fuchsialever.directory.unreadable", "table", table.name()).increment();
        trace.line(PART, "row-unreadable")
                .with("table", table.name())
                .with("key", row.key())
                .with("problem", problem)
                .write();
    }
}
