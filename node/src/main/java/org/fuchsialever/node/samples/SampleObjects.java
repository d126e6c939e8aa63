package org.fuchsialever.node.samples;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.samples.BatchEntry;
import org.fuchsialever.decisions.samples.JudgedSample;
import org.fuchsialever.services.ObjectStore;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Sample bodies in the object store, with an LRU cache of objects. */
final class SampleObjects {
    private static final int MAX_CACHED_OBJECTS = 32;
    private static final int PARALLEL_READS = 8;

    private final ObjectStore mObjects;
    private final Map<String, List<JudgedSample>> mCache =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, List<JudgedSample>> eldest) {
                    return size() > MAX_CACHED_OBJECTS;
                }
            };

    SampleObjects(ObjectStore objects) {
        mObjects = objects;
    }

    /** Stores samples; an existing object was stored by a previous attempt. */
    Mono<Boolean> store(String name, List<JudgedSample> samples) {
        return mObjects.putIfAbsent(name, RolloutRows.write(samples))
                .doOnNext(stored -> addToCache(name, samples));
    }

    /** Returns the bodies of the entries, in the same order. */
    Mono<List<JudgedSample>> bodies(List<BatchEntry> entries) {
        return Flux.fromIterable(entries)
                .map(BatchEntry::object)
                .distinct()
                .flatMap(
                        name -> read(name).map(samples -> Map.entry(name, samples)), PARALLEL_READS)
                .collectMap(Map.Entry::getKey, Map.Entry::getValue)
                .map(
                        found ->
                                entries.stream()
                                        .map(entry -> body(entry, found.get(entry.object())))
                                        .toList());
    }

    private static JudgedSample body(BatchEntry entry, @Nullable List<JudgedSample> samples) {
        if (samples == null || !samples.get(entry.slot()).id().equals(entry.id())) {
            throw new IllegalStateException(
                    "object " + entry.object() + " does not contain " + entry.id());
        }
        return samples.get(entry.slot());
    }

    private Mono<List<JudgedSample>> read(String name) {
        synchronized (mCache) {
            List<JudgedSample> samples = mCache.get(name);
            if (samples != null) {
                return Mono.just(samples);
            }
        }
        return mObjects.read(name)
                .map(
                        content ->
                                RolloutRows.readSamples(
                                        content.getOrElseThrow(
                                                () ->
                                                        new IllegalStateException(
                                                                "object " + name + " not found"))))
                .doOnNext(samples -> addToCache(name, samples));
    }

    private void addToCache(String name, List<JudgedSample> samples) {
        synchronized (mCache) {
            mCache.put(name, samples);
        }
    }
}
