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
    private static final int PAGE = 500;

    /** With three in ten parts out of reach, 97 in 100 submissions are stored. */
    private static final int MOST_COPIES = 3;

    /** Submissions that are read again and again; one takes about 100 KB. */
    private static final int MOST_CACHED = 32;

    private final HostedServices services;
    private final Cache<String, BatchSpec> specs =
            Caffeine.newBuilder().maximumSize(MOST_CACHED).executor(Runnable::run).build();

    BatchStore(HostedServices services) {
        this.services = services;
    }

    /** Returns the name of the object that holds a copy of what was submitted. */
    static String objectName(String id, int copy) {
        return OBJECT_PREFIX + id + (copy == 0 ? "" : "-" + copy);
    }

    /**
     * Stores what was submitted, unless it is stored already.
     *
     * @return the number of the copy that was stored, or none if another content is stored under
     *     this identity
     */
    Mono<Option<Integer>> storeSpec(BatchSpec spec, byte[] body) {
        return storeCopy(spec, body, 0);
    }

    /** Part of the store's objects may be out of reach; another name may lie in a sound part. */
    private Mono<Option<Integer>> storeCopy(BatchSpec spec, byte[] body, int copy) {
        Mono<Option<Integer>> stored =
                storeCopy(spec, body, objectName(spec.id(), copy))
                        .map(same -> same ? Option.some(copy) : Option.none());
        return copy + 1 >= MOST_COPIES
                ? stored
                : stored.onErrorResume(
                        PlatformException.class, failure -> storeCopy(spec, body, copy + 1));
    }

    private Mono<Boolean> storeCopy(BatchSpec spec, byte[] body, String name) {
        return services.objects()
                .putIfAbsent(name, body)
                .flatMap(
                        stored ->
                                stored
                                        ? Mono.just(true)
                                        : services.objects()
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
                                specs.put(spec.id(), spec);
                            }
                        });
    }

    /** Reads what was submitted. */
    Mono<BatchSpec> spec(BatchState head) {
        String id = head.id();
        BatchSpec cached = specs.getIfPresent(id);
        if (cached != null) {
            return Mono.just(cached);
        }
        return services.objects()
                .read(objectName(id, head.content().copyNumber()))
                .map(
                        bytes -> {
                            Either<String, BatchSpec> spec =
                                    bytes.toEither("the object is missing")
                                            .flatMap(b -> services.entry().readBatch(id, b));
                            BatchSpec read =
                                    spec.getOrElseThrow(
                                            problem ->
                                                    new PlatformException(
                                                            Effect.NONE, "batch: " + problem));
                            specs.put(id, read);
                            return read;
                        });
    }

    /**
     * Writes a head and results under the condition that the head has not changed.
     *
     * @param version the version that the row of the head must have, 0 if there must be none
     */
    Mono<RowChangeResult> write(
            BatchState head, long version, int firstPosition, List<ItemResult> results) {
        RowKey key = BatchRows.stateKey(head.id());
        Map<RowKey, byte[]> puts = new HashMap<>();
        puts.put(key, BatchRows.encode(head));
        int position = firstPosition;
        for (ItemResult result : results) {
            BatchRows.encode(head.id(), position, result, puts);
            position++;
        }
        return services.rows().change(new RowChange(Map.of(key, version), puts, List.of()));
    }

    /** Reads the present head. */
    Mono<Option<VersionedState>> head(String id) {
        return services.rows()
                .range(BatchRows.STATES, id, id + "\u0001", 1)
                .map(page -> head(page.rows()));
    }

    /** Returns the head among the rows of a rejected change. */
    static Option<VersionedState> head(List<StoredRow> rows) {
        for (StoredRow row : rows) {
            if (row.key().table().equals(BatchRows.STATES) && !row.removed()) {
                return BatchRows.decodeState(row.value())
                        .toOption()
                        .map(head -> new VersionedState(head, row.version()));
            }
        }
        return Option.none();
    }

    /** Reads results from a position on, about 1 MB of them at most. */
    Mono<List<ItemResult>> results(String id, int after) {
        return services.rows()
                .range(
                        BatchRows.RESULTS,
                        BatchRows.resultKey(id, after),
                        BatchRows.resultsEndKey(id),
                        PAGE)
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
