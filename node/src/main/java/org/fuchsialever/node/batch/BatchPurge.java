package org.fuchsialever.node.batch;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.StoreClock;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.HostedServices;
import org.fuchsialever.services.rows.RowChange;
import org.fuchsialever.services.rows.RowKey;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Removes submissions whose results need not be kept any longer, while it holds the role. */
final class BatchPurge {
    /** The role under which submissions are removed. */
    static final String ROLE = "purge";

    /** A trainer may read until the last moment, by a clock that differs. */
    private static final long MARGIN_MILLIS = 30_000;

    /** Below the store's limit of 100 entries a change. */
    private static final int MOST_REMOVALS = 90;

    private final HostedServices services;
    private final Directory directory;
    private final Leases leases;
    private final StoreClock clock;
    private final long retentionMillis;
    private final TraceLog trace;
    private boolean running;

    BatchPurge(
            HostedServices services,
            Directory directory,
            Leases leases,
            StoreClock clock,
            long retentionMillis,
            TraceLog trace) {
        this.services = services;
        this.directory = directory;
        this.leases = leases;
        this.clock = clock;
        this.retentionMillis = retentionMillis;
        this.trace = trace;
    }

    /** Removes one submission that is due; called from time to time in the event loop. */
    void tick() {
        if (running || leases.held(ROLE).isEmpty()) {
            return;
        }
        Option<VersionedState> due =
                clock.millis().flatMap(now -> due(directory.batchStates(), now, retentionMillis));
        if (due.isEmpty()) {
            return;
        }
        running = true;
        String id = due.get().state().id();
        remove(due.get())
                .doFinally(signal -> running = false)
                .subscribe(
                        done -> {},
                        failure ->
                                trace.line("batch", "purge-failed")
                                        .with("id", id)
                                        .with("reason", String.valueOf(failure.getMessage()))
                                        .write(),
                        () -> trace.line("batch", "purged").with("id", id).write());
    }

    /** Returns a submission that is no longer open and whose time is over. */
    static Option<VersionedState> due(
            List<VersionedState> heads, long nowMillis, long retentionMillis) {
        for (VersionedState row : heads) {
            BatchState head = row.state();
            if (!head.isOpen()
                    && nowMillis - head.submittedMillis() > retentionMillis + MARGIN_MILLIS) {
                return Option.some(row);
            }
        }
        return Option.none();
    }

    /** The head goes last, so that an interrupted removal is repeated. */
    private Mono<Void> remove(VersionedState row) {
        String id = row.state().id();
        return services.rows()
                .range(
                        BatchRows.RESULTS,
                        BatchRows.resultKey(id, 0),
                        BatchRows.resultsEndKey(id),
                        MOST_REMOVALS)
                .flatMap(
                        page -> {
                            if (page.rows().isEmpty()) {
                                return removeHead(row);
                            }
                            List<RowKey> keys =
                                    page.rows().stream().map(stored -> stored.key()).toList();
                            return services.rows()
                                    .change(new RowChange(Map.of(), Map.of(), keys))
                                    .then(Mono.defer(() -> remove(row)));
                        });
    }

    private Mono<Void> removeHead(VersionedState row) {
        RowKey key = BatchRows.stateKey(row.state().id());
        Map<RowKey, Long> expected = new HashMap<>();
        expected.put(key, row.version());
        // Lower copies may have been stored although the store did not say so.
        return Flux.range(0, row.state().content().copyNumber() + 1)
                .concatMap(
                        copy ->
                                services.rows()
                                        .removeObject(
                                                BatchStore.objectName(row.state().id(), copy)))
                .then(services.rows().change(new RowChange(expected, Map.of(), List.of(key))))
                .then();
    }
}
