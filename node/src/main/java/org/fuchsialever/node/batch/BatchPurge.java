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
import org.fuchsialever.services.rows.StoredRow;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Removes submissions past their retention period while this instance holds the role. */
final class BatchPurge {
    /** The role under which submissions are removed. */
    static final String ROLE = "purge";

    /** Allows for clock differences of trainers that read until the end of the retention. */
    private static final long MARGIN_MILLIS = 30_000;

    /** Stored texts are few, because those of listed items are removed at once. */
    private static final int TICKS_PER_TEXT_PURGE = 15;

    /** Below the store's limit of 100 entries per change. */
    private static final int MAX_REMOVALS = 90;

    private final HostedServices mServices;
    private final BatchStore mStore;
    private final Directory mDirectory;
    private final Leases mLeases;
    private final StoreClock mClock;
    private final long mRetentionMillis;
    private final TraceLog mTrace;
    private boolean mRunning;
    private int mTicks;

    BatchPurge(
            HostedServices services,
            BatchStore store,
            Directory directory,
            Leases leases,
            StoreClock clock,
            long retentionMillis,
            TraceLog trace) {
        mServices = services;
        mStore = store;
        mDirectory = directory;
        mLeases = leases;
        mClock = clock;
        mRetentionMillis = retentionMillis;
        mTrace = trace;
    }

    /** Removes one expired submission; called periodically in the event loop. */
    void tick() {
        if (mRunning || mLeases.held(ROLE).isEmpty()) {
            return;
        }
        mTicks++;
        if (mTicks % TICKS_PER_TEXT_PURGE == 0) {
            mClock.millis().forEach(this::purgeTexts);
        }
        Option<VersionedState> expired =
                mClock.millis()
                        .flatMap(
                                now ->
                                        findExpired(
                                                mDirectory.batchStates(), now, mRetentionMillis));
        if (expired.isEmpty()) {
            return;
        }
        mRunning = true;
        String id = expired.get().state().id();
        remove(expired.get())
                .doFinally(signal -> mRunning = false)
                .subscribe(
                        done -> {},
                        failure ->
                                mTrace.line("batch", "purge-failed")
                                        .with("id", id)
                                        .with("reason", String.valueOf(failure.getMessage()))
                                        .write(),
                        () -> mTrace.line("batch", "purged").with("id", id).write());
    }

    /** Removes texts whose items no trainer has submitted again within the retention period. */
    private void purgeTexts(long nowMillis) {
        mStore.textRows("", "")
                .flatMap(
                        rows -> {
                            List<RowKey> old =
                                    rows.stream()
                                            .filter(row -> isOld(row, nowMillis))
                                            .map(StoredRow::key)
                                            .limit(MAX_REMOVALS)
                                            .toList();
                            return old.isEmpty()
                                    ? Mono.empty()
                                    : mServices
                                            .rows()
                                            .change(new RowChange(Map.of(), Map.of(), old));
                        })
                .subscribe(
                        done -> {},
                        failure ->
                                mTrace.line("batch", "text-purge-failed")
                                        .with("reason", String.valueOf(failure.getMessage()))
                                        .write());
    }

    private boolean isOld(StoredRow row, long nowMillis) {
        return nowMillis - BatchRows.textStoredMillis(row.value()) > mRetentionMillis;
    }

    /** Returns a closed submission past its retention period, if there is one. */
    static Option<VersionedState> findExpired(
            List<VersionedState> states, long nowMillis, long retentionMillis) {
        for (VersionedState row : states) {
            BatchState state = row.state();
            if (!state.isOpen()
                    && nowMillis - state.submittedMillis() > retentionMillis + MARGIN_MILLIS) {
                return Option.some(row);
            }
        }
        return Option.none();
    }

    /** Removes the state row last, so that an interrupted removal is repeated. */
    private Mono<Void> remove(VersionedState row) {
        String id = row.state().id();
        return mServices
                .rows()
                .range(
                        BatchRows.RESULTS,
                        BatchRows.resultKey(id, 0),
                        BatchRows.resultsEndKey(id),
                        MAX_REMOVALS)
                .flatMap(
                        page -> {
                            if (page.rows().isEmpty()) {
                                return removeState(row);
                            }
                            List<RowKey> keys =
                                    page.rows().stream().map(stored -> stored.key()).toList();
                            return mServices
                                    .rows()
                                    .change(new RowChange(Map.of(), Map.of(), keys))
                                    .then(Mono.defer(() -> remove(row)));
                        });
    }

    private Mono<Void> removeState(VersionedState row) {
        RowKey key = BatchRows.stateKey(row.state().id());
        Map<RowKey, Long> expected = new HashMap<>();
        expected.put(key, row.version());
        // Lower-numbered copies may exist although the responses to their writes were lost.
        return Flux.range(0, row.state().content().copyNumber() + 1)
                .concatMap(
                        copy ->
                                mServices
                                        .rows()
                                        .removeObject(
                                                BatchStore.objectName(row.state().id(), copy)))
                .then(mServices.rows().change(new RowChange(expected, Map.of(), List.of(key))))
                .then();
    }
}
