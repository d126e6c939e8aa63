package org.fuchsialever.node.batch;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchSpec;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.batch.ItemResult;
import org.fuchsialever.decisions.batch.PartialText;
import org.fuchsialever.decisions.batch.TextChanges;
import org.fuchsialever.decisions.batch.TextSegment;
import org.fuchsialever.node.directory.StoreClock;
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

    /**
     * Part of the heap for the cache of submission contents, which any instance may be asked for.
     */
    private static final long CACHE_HEAP_FRACTION = 12;

    private final HostedServices mServices;
    private final StoreClock mClock;
    private final Cache<String, BatchSpec> mSpecs =
            Caffeine.newBuilder()
                    .maximumWeight(Runtime.getRuntime().maxMemory() / CACHE_HEAP_FRACTION)
                    .weigher((String id, BatchSpec spec) -> weight(spec))
                    .executor(Runnable::run)
                    .build();

    BatchStore(HostedServices services, StoreClock clock) {
        mServices = services;
        mClock = clock;
    }

    private static int weight(BatchSpec spec) {
        return (int) Math.min(Integer.MAX_VALUE, spec.memoryBytes());
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
        return write(state, version, firstPosition, results, TextChanges.NONE);
    }

    /** Writes like the other method, with changes of the stored texts of unfinished items. */
    Mono<RowChangeResult> write(
            BatchState state,
            long version,
            int firstPosition,
            List<ItemResult> results,
            TextChanges texts) {
        RowKey key = BatchRows.stateKey(state.id());
        Map<RowKey, byte[]> puts = new HashMap<>();
        puts.put(key, BatchRows.encode(state));
        String model = state.content().model();
        for (TextSegment segment : texts.saved()) {
            puts.put(
                    BatchRows.textKey(model, segment.key()),
                    BatchRows.encode(segment, mClock.millis().getOrElse(0L)));
        }
        List<RowKey> removals =
                texts.removed().stream().map(text -> BatchRows.textKey(model, text)).toList();
        int position = firstPosition;
        for (ItemResult result : results) {
            BatchRows.encode(state.id(), position, result, puts);
            position++;
        }
        return mServices.rows().change(new RowChange(Map.of(key, version), puts, removals));
    }

    /** Stores segments of texts, unless one of them is already stored by another run. */
    Mono<RowChangeResult> keepTexts(String model, List<TextSegment> segments) {
        Map<RowKey, Long> absent = new HashMap<>();
        Map<RowKey, byte[]> puts = new HashMap<>();
        for (TextSegment segment : segments) {
            RowKey key = BatchRows.textKey(model, segment.key());
            absent.put(key, 0L);
            puts.put(key, BatchRows.encode(segment, mClock.millis().getOrElse(0L)));
        }
        return mServices.rows().change(new RowChange(absent, puts, List.of()));
    }

    /** Reads the stored beginnings of the texts of a model, by the ID of the item. */
    Mono<Map<String, PartialText>> texts(String model) {
        return textRows(BatchRows.textsStartKey(model), BatchRows.textsEndKey(model))
                .map(
                        rows -> {
                            Map<String, List<TextSegment>> byItem = new HashMap<>();
                            for (StoredRow row : rows) {
                                BatchRows.decodeText(row.value())
                                        .forEach(
                                                segment ->
                                                        byItem.computeIfAbsent(
                                                                        segment.itemId(),
                                                                        item -> new ArrayList<>())
                                                                .add(segment));
                            }
                            Map<String, PartialText> texts = new HashMap<>();
                            byItem.forEach(
                                    (item, stored) -> texts.put(item, PartialText.join(stored)));
                            return texts;
                        });
    }

    /** Reads all rows of stored texts between two keys. */
    Mono<List<StoredRow>> textRows(String from, String to) {
        return textRows(from, to, new ArrayList<>());
    }

    private Mono<List<StoredRow>> textRows(String from, String to, List<StoredRow> found) {
        return mServices
                .rows()
                .range(BatchRows.TEXTS, from, to, PAGE_ROWS)
                .flatMap(
                        page -> {
                            found.addAll(page.rows());
                            return page.hasMore() && !page.rows().isEmpty()
                                    ? textRows(
                                            found.get(found.size() - 1).key().key() + "\u0001",
                                            to,
                                            found)
                                    : Mono.just(found);
                        });
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

    /** Reads the IDs of the items that have a result; their texts are not kept. */
    Mono<Set<String>> listedItems(String id) {
        return listedItems(id, 0, new HashSet<>());
    }

    private Mono<Set<String>> listedItems(String id, int position, Set<String> found) {
        return results(id, position)
                .flatMap(
                        page -> {
                            page.forEach(result -> found.add(result.itemId()));
                            return page.isEmpty()
                                    ? Mono.just(found)
                                    : listedItems(id, position + page.size(), found);
                        });
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
