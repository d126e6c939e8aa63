package org.fuchsialever.node.batch;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fuchsialever.decisions.batch.BatchContent;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.BatchSpec;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.batch.ItemResult;
import org.fuchsialever.decisions.batch.Peer;
import org.fuchsialever.decisions.batch.Placement;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.directory.StoreClock;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import org.fuchsialever.services.hosted.EntryProtocol;
import org.fuchsialever.services.rows.RowChangeResult;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/** Accepts, reads and ends submissions, on any instance. */
public final class BatchService {
    private static final String PART = "batch";

    /** Short, because another instance that takes the retry may reach the store. */
    private static final long RETRY_AFTER_MILLIS = 200;

    /** Mirrored state that is staler than this does not show that there are no new results. */
    private static final long MAX_MIRROR_STALENESS_MILLIS = 600;

    /** Submissions are refused once the mirror of the store has been stale for this long. */
    private static final long STORE_UNAVAILABLE_MILLIS = 2_600;

    private static final int MAX_RETRIES = 3;
    private static final Duration FIRST_RETRY_BACKOFF = Duration.ofMillis(100);

    private final BatchStore mStore;
    private final BatchActions mActions;
    private final BatchWaiters mWaiters;
    private final Directory mDirectory;
    private final EntryProtocol mProtocol;
    private final NodeIdentity mIdentity;
    private final TimeSource mTime;
    private final StoreClock mClock;
    private final TraceLog mTrace;

    BatchService(
            BatchStore store,
            BatchActions actions,
            BatchWaiters waiters,
            Directory directory,
            EntryProtocol protocol,
            NodeIdentity identity,
            TimeSource time,
            StoreClock clock,
            TraceLog trace) {
        mStore = store;
        mActions = actions;
        mWaiters = waiters;
        mDirectory = directory;
        mProtocol = protocol;
        mIdentity = identity;
        mTime = time;
        mClock = clock;
        mTrace = trace;
    }

    /**
     * Stores a submission and starts to run it.
     *
     * @param id identifies the submission; repeating a submission has no effect
     * @param team the team that submits it, empty if no key is needed
     * @param host the host that selects its route, together with the path
     * @param path the path of the request
     * @param body the submission as received
     */
    public Mono<BatchReply> submit(String id, String team, String host, String path, byte[] body) {
        Option<VersionedState> known = mDirectory.batchState(id);
        if (known.exists(row -> row.state().team().equals(team))) {
            return Mono.just(new BatchReply.Accepted());
        }
        if (mDirectory.stalenessMillis(DirectoryTable.BATCHES) > STORE_UNAVAILABLE_MILLIS) {
            return Mono.just(notAccepted(id, "store-out-of-contact"));
        }
        Either<String, BatchSpec> read = mProtocol.readBatch(id, body);
        if (read.isLeft()) {
            return Mono.just(new BatchReply.Malformed(read.getLeft()));
        }
        Option<Long> now = mClock.millis();
        if (now.isEmpty()) {
            return Mono.just(notAccepted(id, "store-clock-unknown"));
        }
        BatchSpec spec = read.get();
        Peer owner = chooseOwner(team, spec);
        return mStore.storeSpec(spec, body)
                .flatMap(
                        copy -> {
                            if (copy.isEmpty()) {
                                return Mono.<BatchReply>just(new BatchReply.IdentityTaken());
                            }
                            BatchContent content = BatchContent.of(spec, copy.get());
                            BatchState state =
                                    new BatchState(
                                            id,
                                            team,
                                            host,
                                            path,
                                            spec.items().size(),
                                            0,
                                            now.get(),
                                            owner.instance(),
                                            owner.startId(),
                                            1,
                                            false,
                                            content);
                            return create(state, spec);
                        })
                .onErrorResume(
                        PlatformException.class,
                        failure -> Mono.just(notAccepted(id, failure.getMessage())));
    }

    private Peer chooseOwner(String team, BatchSpec spec) {
        Peer self = new Peer(mIdentity.instance().value(), mIdentity.startId());
        List<Peer> candidates = new ArrayList<>(mDirectory.livePeers());
        if (candidates.isEmpty()) {
            candidates.add(self);
        }
        return Placement.owner(candidates, team, spec);
    }

    private Mono<BatchReply> create(BatchState state, BatchSpec spec) {
        return retried(() -> mStore.write(state, 0, 0, List.of()))
                .map(result -> created(state, spec, result))
                .onErrorResume(
                        PlatformException.class,
                        failure ->
                                Mono.just(
                                        failure.effect() == Effect.NONE
                                                ? notAccepted(state.id(), failure.getMessage())
                                                : unknown(state.id(), failure.getMessage())));
    }

    private BatchReply created(BatchState state, BatchSpec spec, RowChangeResult result) {
        if (result instanceof RowChangeResult.Applied applied) {
            mTrace.line(PART, "accepted")
                    .with("id", state.id())
                    .with("team", state.team())
                    .with("owner", state.owner())
                    .write();
            if (state.isOwnedBy(mIdentity.instance().value(), mIdentity.startId())) {
                mActions.open(state, applied.version(), spec, Set.of());
            } else {
                mActions.watchStart(state.id());
            }
            return new BatchReply.Accepted();
        }
        Option<VersionedState> present =
                BatchStore.batchState(((RowChangeResult.Rejected) result).currentRows());
        if (!present.exists(row -> row.state().team().equals(state.team()))) {
            return new BatchReply.IdentityTaken();
        }
        BatchState kept = present.get().state();
        boolean own = kept.isOwnedBy(mIdentity.instance().value(), mIdentity.startId());
        mTrace.line(PART, "accepted-before")
                .with("id", state.id())
                .with("owner", kept.owner())
                .write();
        if (own && kept.isOpen() && kept.resultCount() == 0) {
            // The first response was lost; opening twice has no effect.
            mActions.open(kept, present.get().version(), spec, Set.of());
        }
        return new BatchReply.Accepted();
    }

    /** Retries a change whose effect is unknown; the retry conflicts if it took effect. */
    private static Mono<RowChangeResult> retried(Supplier<Mono<RowChangeResult>> change) {
        boolean[] mayHaveTakenEffect = new boolean[1];
        return Mono.defer(change)
                .doOnError(
                        PlatformException.class,
                        failure -> mayHaveTakenEffect[0] |= failure.effect() == Effect.UNKNOWN)
                .retryWhen(
                        Retry.backoff(MAX_RETRIES, FIRST_RETRY_BACKOFF)
                                .filter(failure -> mayHaveTakenEffect[0])
                                .onRetryExhaustedThrow(
                                        (spec, signal) ->
                                                new PlatformException(
                                                        Effect.UNKNOWN,
                                                        "no answer to any repeat",
                                                        signal.failure())));
    }

    private BatchReply notAccepted(String id, @Nullable String reason) {
        mTrace.line(PART, "not-accepted")
                .with("id", id)
                .with("reason", String.valueOf(reason))
                .with("storeAgeMillis", mDirectory.stalenessMillis(DirectoryTable.BATCHES))
                .write();
        return new BatchReply.NotAccepted(String.valueOf(reason), RETRY_AFTER_MILLIS);
    }

    private BatchReply unknown(String id, @Nullable String reason) {
        mTrace.line(PART, "effect-unknown")
                .with("id", id)
                .with("reason", String.valueOf(reason))
                .write();
        return new BatchReply.EffectUnknown(String.valueOf(reason));
    }

    /**
     * Returns results from a position on; waits for the first one if there is none.
     *
     * @param id identifies the submission
     * @param team the team that asks; submissions of other teams are not found
     * @param after the first position
     * @param waitMillis longest wait, 0 for none
     */
    public Mono<BatchReply> results(String id, String team, int after, long waitMillis) {
        return batchState(id)
                .flatMap(
                        found -> {
                            if (!found.exists(row -> row.state().team().equals(team))) {
                                return Mono.<BatchReply>just(new BatchReply.NotFound());
                            }
                            BatchState state = found.get().state();
                            boolean wait =
                                    waitMillis > 0
                                            && state.resultCount() <= after
                                            && state.isOpen()
                                            && after < state.itemCount();
                            return wait
                                    ? mWaiters.await(id, after, Duration.ofMillis(waitMillis))
                                            .then(
                                                    Mono.defer(
                                                            () ->
                                                                    page(
                                                                            state.itemCount(),
                                                                            id,
                                                                            after)))
                                    : page(state.itemCount(), id, after);
                        })
                .onErrorResume(
                        PlatformException.class,
                        failure -> Mono.just(notAccepted(id, failure.getMessage())));
    }

    private Mono<BatchReply> page(int total, String id, int after) {
        boolean isFresh =
                mDirectory.stalenessMillis(DirectoryTable.BATCHES) <= MAX_MIRROR_STALENESS_MILLIS;
        boolean none = mDirectory.batchState(id).exists(row -> row.state().resultCount() <= after);
        if (isFresh && none) {
            return Mono.just(new BatchReply.Results(total, List.of(), after));
        }
        return mStore.results(id, after)
                .map(results -> new BatchReply.Results(total, results, after + results.size()));
    }

    /** Returns the mirrored state, or reads it from the store if it is not mirrored. */
    private Mono<Option<VersionedState>> batchState(String id) {
        Option<VersionedState> known = mDirectory.batchState(id);
        return known.isDefined() ? Mono.just(known) : mStore.batchState(id);
    }

    /** Returns the body of an item that has no result yet. */
    public Mono<BatchReply> itemBody(String id, String team, String itemId) {
        return batchState(id)
                .flatMap(
                        found -> {
                            if (!found.exists(row -> row.state().team().equals(team))) {
                                return Mono.<BatchReply>just(new BatchReply.NotFound());
                            }
                            return mStore.spec(found.get().state()).map(spec -> body(spec, itemId));
                        })
                .onErrorResume(
                        PlatformException.class,
                        failure -> Mono.just(notAccepted(id, failure.getMessage())));
    }

    private static BatchReply body(BatchSpec spec, String itemId) {
        for (BatchItem item : spec.items()) {
            if (item.id().equals(itemId)) {
                return new BatchReply.ItemBody(item.body());
            }
        }
        return new BatchReply.NotFound();
    }

    /** Ends a submission; idempotent. */
    public Mono<BatchReply> end(String id, String team) {
        return batchState(id)
                .flatMap(
                        found -> {
                            if (!found.exists(row -> row.state().team().equals(team))) {
                                return Mono.<BatchReply>just(new BatchReply.NotFound());
                            }
                            return end(found.get(), mTime.nanoTime());
                        })
                .onErrorResume(
                        PlatformException.class,
                        failure ->
                                Mono.just(
                                        failure.effect() == Effect.NONE
                                                ? notAccepted(id, failure.getMessage())
                                                : unknown(id, failure.getMessage())));
    }

    private Mono<BatchReply> end(VersionedState row, long begin) {
        BatchState state = row.state();
        if (state.ended()) {
            return Mono.just(new BatchReply.Ended());
        }
        return mStore.write(state.asEnded(), row.version(), state.resultCount(), List.of())
                .flatMap(
                        result -> {
                            if (result instanceof RowChangeResult.Applied) {
                                mTrace.line(PART, "ended")
                                        .with("id", state.id())
                                        .with("listed", state.resultCount())
                                        .with("total", state.itemCount())
                                        .write();
                                return Mono.<BatchReply>just(new BatchReply.Ended());
                            }
                            Option<VersionedState> present =
                                    BatchStore.batchState(
                                            ((RowChangeResult.Rejected) result).currentRows());
                            boolean timedOut =
                                    mTime.nanoTime() - begin > TimeUnit.SECONDS.toNanos(2);
                            if (present.isEmpty()) {
                                return Mono.<BatchReply>just(new BatchReply.NotFound());
                            }
                            return timedOut
                                    ? Mono.just(unknown(state.id(), "too many conflicts"))
                                    : end(present.get(), begin);
                        });
    }

    /** Returns all results of a submission, for operator commands. */
    public Mono<List<ItemResult>> allResults(String id) {
        return mStore.allResults(id);
    }
}
