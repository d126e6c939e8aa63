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

/** Accepts submissions and answers questions about them, at any instance. */
public final class BatchService {
    private static final String PART = "batch";

    /** Callers are told to try another instance; it may reach the store. */
    private static final long RETRY_AFTER_MILLIS = 200;

    /** The mirrored heads are trusted this long after they were known to be up to date. */
    private static final long FRESH_MILLIS = 600;

    /** A store that has not answered for this long is not asked to keep a submission. */
    private static final long OUT_OF_CONTACT_MILLIS = 2_600;

    private static final int REPEATS = 3;
    private static final Duration FIRST_REPEAT = Duration.ofMillis(100);

    private final BatchStore store;
    private final BatchActions actions;
    private final BatchWaiters waiters;
    private final Directory directory;
    private final EntryProtocol protocol;
    private final NodeIdentity identity;
    private final TimeSource time;
    private final StoreClock clock;
    private final TraceLog trace;

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
        this.store = store;
        this.actions = actions;
        this.waiters = waiters;
        this.directory = directory;
        this.protocol = protocol;
        this.identity = identity;
        this.time = time;
        this.clock = clock;
        this.trace = trace;
    }

    /**
     * Keeps a submission and begins to run it.
     *
     * @param id its identity
     * @param team the team that submits it, empty if no key is needed
     * @param host the host that selects its route
     * @param path its path
     * @param body what was submitted
     */
    public Mono<BatchReply> submit(String id, String team, String host, String path, byte[] body) {
        Option<VersionedState> known = directory.batchState(id);
        if (known.exists(head -> head.state().team().equals(team))) {
            return Mono.just(new BatchReply.Accepted());
        }
        if (directory.stalenessMillis(DirectoryTable.BATCHES) > OUT_OF_CONTACT_MILLIS) {
            return Mono.just(notAccepted(id, "store-out-of-contact"));
        }
        Either<String, BatchSpec> read = protocol.readBatch(id, body);
        if (read.isLeft()) {
            return Mono.just(new BatchReply.Malformed(read.getLeft()));
        }
        Option<Long> now = clock.millis();
        if (now.isEmpty()) {
            return Mono.just(notAccepted(id, "store-clock-unknown"));
        }
        BatchSpec spec = read.get();
        Peer owner = owner(team, spec);
        return store.storeSpec(spec, body)
                .flatMap(
                        copy -> {
                            if (copy.isEmpty()) {
                                return Mono.<BatchReply>just(new BatchReply.IdentityTaken());
                            }
                            BatchContent content =
                                    new BatchContent(spec.model(), spec.minVersion(), copy.get());
                            BatchState head =
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
                            return create(head, spec);
                        })
                .onErrorResume(
                        PlatformException.class,
                        failure -> Mono.just(notAccepted(id, failure.getMessage())));
    }

    /** Submissions of a model stay at one instance, which keeps its connections to the engines. */
    private Peer owner(String team, BatchSpec spec) {
        Peer self = new Peer(identity.instance().value(), identity.startId());
        List<Peer> candidates = new ArrayList<>(directory.livePeers());
        if (!candidates.contains(self)) {
            candidates.add(self);
        }
        return Peer.ranked(candidates, team + "/" + spec.model()).get(0);
    }

    private Mono<BatchReply> create(BatchState head, BatchSpec spec) {
        return repeated(() -> store.write(head, 0, 0, List.of()))
                .map(result -> created(head, spec, result))
                .onErrorResume(
                        PlatformException.class,
                        failure ->
                                Mono.just(
                                        failure.effect() == Effect.NONE
                                                ? notAccepted(head.id(), failure.getMessage())
                                                : unknown(head.id(), failure.getMessage())));
    }

    private BatchReply created(BatchState head, BatchSpec spec, RowChangeResult result) {
        if (result instanceof RowChangeResult.Applied applied) {
            trace.line(PART, "accepted")
                    .with("id", head.id())
                    .with("team", head.team())
                    .with("owner", head.owner())
                    .write();
            if (head.isOwnedBy(identity.instance().value(), identity.startId())) {
                actions.open(head, applied.version(), spec, Set.of());
            } else {
                actions.placed(head.id());
            }
            return new BatchReply.Accepted();
        }
        Option<VersionedState> present =
                BatchStore.head(((RowChangeResult.Rejected) result).currentRows());
        if (!present.exists(row -> row.state().team().equals(head.team()))) {
            return new BatchReply.IdentityTaken();
        }
        BatchState kept = present.get().state();
        boolean own = kept.isOwnedBy(identity.instance().value(), identity.startId());
        trace.line(PART, "accepted-before")
                .with("id", head.id())
                .with("owner", kept.owner())
                .write();
        if (own && kept.isOpen() && kept.resultCount() == 0) {
            // The first answer was lost; opening twice has no effect.
            actions.open(kept, present.get().version(), spec, Set.of());
        }
        return new BatchReply.Accepted();
    }

    /** Repeats a change whose effect is unknown; the repeat conflicts if it took effect. */
    private static Mono<RowChangeResult> repeated(Supplier<Mono<RowChangeResult>> change) {
        boolean[] mayHaveTakenEffect = new boolean[1];
        return Mono.defer(change)
                .doOnError(
                        PlatformException.class,
                        failure -> mayHaveTakenEffect[0] |= failure.effect() == Effect.UNKNOWN)
                .retryWhen(
                        Retry.backoff(REPEATS, FIRST_REPEAT)
                                .filter(failure -> mayHaveTakenEffect[0])
                                .onRetryExhaustedThrow(
                                        (spec, signal) ->
                                                new PlatformException(
                                                        Effect.UNKNOWN,
                                                        "no answer to any repeat",
                                                        signal.failure())));
    }

    private BatchReply notAccepted(String id, @Nullable String reason) {
        trace.line(PART, "not-accepted")
                .with("id", id)
                .with("reason", String.valueOf(reason))
                .with("storeAgeMillis", directory.stalenessMillis(DirectoryTable.BATCHES))
                .write();
        return new BatchReply.NotAccepted(String.valueOf(reason), RETRY_AFTER_MILLIS);
    }

    private BatchReply unknown(String id, @Nullable String reason) {
        trace.line(PART, "effect-unknown")
                .with("id", id)
                .with("reason", String.valueOf(reason))
                .write();
        return new BatchReply.EffectUnknown(String.valueOf(reason));
    }

    /**
     * Returns results from a position on; waits for the first one if there is none.
     *
     * @param id the submission
     * @param team the team that asks
     * @param after the first position
     * @param waitMillis how long to wait at most
     */
    public Mono<BatchReply> results(String id, String team, int after, long waitMillis) {
        return head(id).flatMap(
                        found -> {
                            if (!found.exists(row -> row.state().team().equals(team))) {
                                return Mono.<BatchReply>just(new BatchReply.NotFound());
                            }
                            BatchState head = found.get().state();
                            boolean wait =
                                    waitMillis > 0
                                            && head.resultCount() <= after
                                            && head.isOpen()
                                            && after < head.itemCount();
                            return wait
                                    ? waiters.await(id, after, Duration.ofMillis(waitMillis))
                                            .then(
                                                    Mono.defer(
                                                            () ->
                                                                    page(
                                                                            head.itemCount(),
                                                                            id,
                                                                            after)))
                                    : page(head.itemCount(), id, after);
                        })
                .onErrorResume(
                        PlatformException.class,
                        failure -> Mono.just(notAccepted(id, failure.getMessage())));
    }

    private Mono<BatchReply> page(int total, String id, int after) {
        boolean fresh = directory.stalenessMillis(DirectoryTable.BATCHES) <= FRESH_MILLIS;
        boolean none = directory.batchState(id).exists(row -> row.state().resultCount() <= after);
        if (fresh && none) {
            return Mono.just(new BatchReply.Results(total, List.of(), after));
        }
        return store.results(id, after)
                .map(results -> new BatchReply.Results(total, results, after + results.size()));
    }

    /** Returns the head; asks the store if it is not mirrored. */
    private Mono<Option<VersionedState>> head(String id) {
        Option<VersionedState> known = directory.batchState(id);
        return known.isDefined() ? Mono.just(known) : store.head(id);
    }

    /** Returns the body of an item that has no result yet. */
    public Mono<BatchReply> itemBody(String id, String team, String itemId) {
        return head(id).flatMap(
                        found -> {
                            if (!found.exists(row -> row.state().team().equals(team))) {
                                return Mono.<BatchReply>just(new BatchReply.NotFound());
                            }
                            return store.spec(found.get().state()).map(spec -> body(spec, itemId));
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

    /** Ends a submission; may be called again. */
    public Mono<BatchReply> end(String id, String team) {
        return head(id).flatMap(
                        found -> {
                            if (!found.exists(row -> row.state().team().equals(team))) {
                                return Mono.<BatchReply>just(new BatchReply.NotFound());
                            }
                            return end(found.get(), time.nanoTime());
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
        BatchState head = row.state();
        if (head.ended()) {
            return Mono.just(new BatchReply.Ended());
        }
        return store.write(head.asEnded(), row.version(), head.resultCount(), List.of())
                .flatMap(
                        result -> {
                            if (result instanceof RowChangeResult.Applied) {
                                trace.line(PART, "ended")
                                        .with("id", head.id())
                                        .with("listed", head.resultCount())
                                        .with("total", head.itemCount())
                                        .write();
                                return Mono.<BatchReply>just(new BatchReply.Ended());
                            }
                            Option<VersionedState> present =
                                    BatchStore.head(
                                            ((RowChangeResult.Rejected) result).currentRows());
                            boolean late = time.nanoTime() - begin > TimeUnit.SECONDS.toNanos(2);
                            if (present.isEmpty()) {
                                return Mono.<BatchReply>just(new BatchReply.NotFound());
                            }
                            return late
                                    ? Mono.just(unknown(head.id(), "too many conflicts"))
                                    : end(present.get(), begin);
                        });
    }

    /** Returns all results of a submission, for the operator's commands. */
    public Mono<List<ItemResult>> allResults(String id) {
        return store.allResults(id);
    }
}
