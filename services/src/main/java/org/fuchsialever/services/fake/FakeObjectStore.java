package org.fuchsialever.services.fake;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.services.ObjectStore;
import org.fuchsialever.services.Timers;
import reactor.core.publisher.Mono;

/** An object store in memory. Used by one thread. */
public final class FakeObjectStore implements ObjectStore {
    private final Faults faults;
    private final Map<String, byte[]> objects = new TreeMap<>();
    private Map<String, byte[]> replica = Map.of();
    private boolean staleReads;

    /** Creates an empty store whose delays use the given timers. */
    public FakeObjectStore(Timers timers) {
        this.faults = new Faults(timers);
    }

    /** Creates an empty store that responds immediately. */
    public FakeObjectStore() {
        this(delay -> Mono.empty());
    }

    /** Returns the fault injection and call counts of this store. */
    public Faults faults() {
        return faults;
    }

    /** Makes reads and lists return the current state until {@link #endStaleReads}. */
    public void beginStaleReads() {
        replica = new TreeMap<>(objects);
        staleReads = true;
    }

    /** Makes reads and lists return the latest state again. */
    public void endStaleReads() {
        staleReads = false;
    }

    @Override
    public Mono<Boolean> putIfAbsent(String name, byte[] content) {
        return faults.change(
                Mono.fromSupplier(() -> objects.putIfAbsent(name, content.clone()) == null));
    }

    @Override
    public Mono<Option<byte[]>> read(String name) {
        return faults.read(
                Mono.fromSupplier(() -> Option.of(visible().get(name)).map(byte[]::clone)));
    }

    @Override
    public Mono<List<String>> list(String prefix) {
        return faults.read(
                Mono.fromSupplier(
                        () ->
                                visible().keySet().stream()
                                        .filter(name -> name.startsWith(prefix))
                                        .toList()));
    }

    private Map<String, byte[]> visible() {
        return staleReads ? replica : objects;
    }
}
