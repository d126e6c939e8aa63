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
    private final Faults mFaults;
    private final Map<String, byte[]> mObjects = new TreeMap<>();
    private Map<String, byte[]> mReplica = Map.of();
    private boolean mStaleReads;

    /** Creates an empty store whose delays use the given timers. */
    public FakeObjectStore(Timers timers) {
        mFaults = new Faults(timers);
    }

    /** Creates an empty store that responds immediately. */
    public FakeObjectStore() {
        this(delay -> Mono.empty());
    }

    /** Returns the fault injection and call counts of this store. */
    public Faults faults() {
        return mFaults;
    }

    /** Makes reads and lists return the current state until {@link #endStaleReads}. */
    public void beginStaleReads() {
        mReplica = new TreeMap<>(mObjects);
        mStaleReads = true;
    }

    /** Makes reads and lists return the latest state again. */
    public void endStaleReads() {
        mStaleReads = false;
    }

    @Override
    public Mono<Boolean> putIfAbsent(String name, byte[] content) {
        return mFaults.change(
                Mono.fromSupplier(() -> mObjects.putIfAbsent(name, content.clone()) == null));
    }

    @Override
    public Mono<Option<byte[]>> read(String name) {
        return mFaults.read(
                Mono.fromSupplier(() -> Option.of(visible().get(name)).map(byte[]::clone)));
    }

    @Override
    public Mono<List<String>> list(String prefix) {
        return mFaults.read(
                Mono.fromSupplier(
                        () ->
                                visible().keySet().stream()
                                        .filter(name -> name.startsWith(prefix))
                                        .toList()));
    }

    private Map<String, byte[]> visible() {
        return mStaleReads ? mReplica : mObjects;
    }
}
