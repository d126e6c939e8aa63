package org.fuchsialever.node.batch;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchSpec;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.batch.ItemResult;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import org.fuchsialever.services.hosted.HostedServices;
import org.fuchsialever.services.rows.RowChange;
import org.fuchsialever.services.rows.RowChangeResult;
import org.fuchsialever.services.rows.RowKey;
import org.fuchsialever.services.rows.StoredRow;
import reactor.core.publisher.Mono;

/** Submissions in the row store and the object store. */
final class BatchStore {
    private static final String OBJECT_PREFIX = "batch-";
    private static final int PAGE_ROWS = 500;

    /** Stores 97 % of submissions while 30 % of the object store's parts are unreachable. */
    private static final int MAX_COPIES = 3;

    /** Bounds the cache of submission contents; each takes about 100 KB. */
    private static final int MAX_CACHED_SPECS = 32;

    private final HostedServices mServices;
    private final Cache<String, BatchSpec> mSpecs =
            Caffeine.newBuilder().maximumSize(MAX_CACHED_SPECS).executor(Runnable::run).build();

    BatchStore(HostedServices services) {
        mServices = services;
    }

    /** Returns the name of the object that holds a copy of a submission's content. */
    static String objectName(String id, int copy) {
        return OBJECT_PREFIX + id + (copy == 0 ? "" : "-" + copy);
    }

    /**
     * Stores the content of a submission unless it is already stored.
     *
     * @return the number of the stored copy, or none if other content is stored under this ID
     */
    Mono<Option<Integer>> storeSpec(BatchSpec spec, byte[] body) {
        return storeCopy(spec, body, 0);
    }

    /** If a part of the object store is unreachable, another name may map to a reachable part. */
    private Mono<Option<Integer>> storeCopy(BatchSpec spec, byte[] body, int copy) {
        Mono<Option<Integer>> stored =
                storeCopy(spec, body, objectName(spec.id(), copy))
                        .map(same -> same ? Option.some(copy) : Option.none());
        return copy + 1 >= MAX_COPIES
                ? stored
                : stored.onErrorResume(
                        PlatformException.class, failure -> storeCopy(spec, body, copy + 1));
    }

    private Mono<Boolean> storeCopy(BatchSpec spec, byte[] body, String name) {
        return mServices
                .objects()
                .putIfAbsent(name, body)
                .flatMap(
                        stored ->
                                stored
                                        ? Mono.just(true)
                                        : mServices
                                                .objects()
                                                .read(name)
                                                .map(
                                                        present ->
                                                                present.exists(
                                                                        bytes ->
                                                                                Arrays.equals(
                                                                                        bytes,
                                                                                        body))))
                .doOnNext(
                        same -> {
                            if (same) {
                                mSpecs.put(spec.id(), spec);
                            }
                        });
    }

    /** Reads the content of a submission. */
    Mono<BatchSpec> spec(BatchState state) {
        String id = state.id();
        BatchSpec cached = mSpecs.getIfPresent(id);
        if (cached != null) {
            return Mono.just(cached);
        }
        return mServices
                .objects()
                .read(objectName(id, state.content().copyNumber()))
                .map(
                        bytes -> {
                            Either<String, BatchSpec> spec =
                                    bytes.toEither("the object is missing")
                                            .flatMap(b -> mServices.entry().readBatch(id, b));
                            BatchSpec read =
                                    spec.getOrElseThrow(
                                            problem ->
                                                    new PlatformException(
                                                            Effect.NONE, "batch: " + problem));
                            mSpecs.put(id, read);
                            return read;
                        });
    }

    /**
     * Writes a state row and results under the condition that the state row has not changed.
     *
     * @param version the version that the state row must have, 0 if there must be none
     */
    Mono<RowChangeResult> write(
            BatchState state, long version, int firstPosition, List<ItemResult> results) {
        RowKey key = BatchRows.stateKey(state.id());
        Map<RowKey, byte[]> puts = new HashMap<>();
        puts.put(key, BatchRows.encode(state));
        int position = firstPosition;
        for (ItemResult result : results) {
            BatchRows.encode(state.id(), position, result, puts);
            position++;
        }
        return mServices.rows().change(new RowChange(Map.of(key, version), puts, List.of()));
    }

    /** Reads the current state from the store. */
    Mono<Option<VersionedState>> batchState(String id) {
        return mServices
                .rows()
                .range(BatchRows.STATES, id, id + "\u0001", 1)
                .map(page -> batchState(page.rows()));
    }

    /** Returns the state among the given rows, if its row is there and not removed. */
    static Option<VersionedState> batchState(List<StoredRow> rows) {
        for (StoredRow row : rows) {
            if (row.key().table().equals(BatchRows.STATES) && !row.removed()) {
                return BatchRows.decodeState(row.value())
                        .toOption()
                        .map(state -> new VersionedState(state, row.version()));
            }
        }
        return Option.none();
    }

    /** Reads one page of results from a position on, at most about 1 MB. */
    Mono<List<ItemResult>> results(String id, int after) {
        return mServices
                .rows()
                .range(
                        BatchRows.RESULTS,
                        BatchRows.resultKey(id, after),
                        BatchRows.resultsEndKey(id),
                        PAGE_ROWS)
                .map(
                        page ->
                                BatchRows.decodeResults(page.rows(), !page.hasMore())
                                        .getOrElseThrow(
                                                problem ->
                                                        new PlatformException(
                                                                Effect.NONE,
                                                                "results: " + problem)));
    }

    /** Reads all results. */
    Mono<List<ItemResult>> allResults(String id) {
        return allResults(id, new ArrayList<>());
    }

    private Mono<List<ItemResult>> allResults(String id, List<ItemResult> found) {
        return results(id, found.size())
                .flatMap(
                        page -> {
                            found.addAll(page);
                            return page.isEmpty() ? Mono.just(found) : allResults(id, found);
                        });
    }
}
