package org.fuchsialever.node.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.Peer;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.kernel.time.TimeSource;

/** The state of the mirrored tables. Written on the thread of the directory duty only. */
public final class Directory {
    /** Three signs of life of 0.7 s each are missing; the time until they are read comes on top. */
    private static final long LIVE_MILLIS = 2_100;

    private final TimeSource time;
    private final StoreClock clock;
    private final List<DirectoryListener> listeners = new CopyOnWriteArrayList<>();
    private final Map<String, FleetUpstream> upstreams = new HashMap<>();
    private final Map<String, VersionedState> heads = new ConcurrentHashMap<>();
    private final Map<String, Long> named = new ConcurrentHashMap<>();
    private final EnumMap<DirectoryTable, Long> currentAt = new EnumMap<>(DirectoryTable.class);
    private final Map<String, Presence> presences = new HashMap<>();
    private volatile Option<Manifest> manifest = Option.none();
    private volatile List<FleetUpstream> upstreamList = List.of();

    Directory(TimeSource time, StoreClock clock) {
        this.time = time;
        this.clock = clock;
    }

    /** Adds a listener and tells it the present state. */
    public synchronized void addListener(DirectoryListener listener) {
        listeners.add(listener);
        manifest.forEach(listener::onManifestChanged);
        listener.onUpstreamsChanged(upstreamList);
        named.forEach(listener::onVersionNamed);
        listener.onBatchStatesChanged(List.copyOf(heads.values()), List.of());
    }

    /** Returns the manifest in force, or none before the first one was read. */
    public Option<Manifest> manifest() {
        return manifest;
    }

    /** Returns the upstreams. */
    public List<FleetUpstream> upstreams() {
        return upstreamList;
    }

    /** Returns the head of a submission. */
    public Option<VersionedState> batchState(String id) {
        return Option.of(heads.get(id));
    }

    /** Returns all submissions. */
    public List<VersionedState> batchStates() {
        return List.copyOf(heads.values());
    }

    /**
     * Returns how long ago a table was known to be up to date, in milliseconds.
     *
     * @return {@link Long#MAX_VALUE} if it never was
     */
    public long stalenessMillis(DirectoryTable table) {
        synchronized (currentAt) {
            Long at = currentAt.get(table);
            return at == null
                    ? Long.MAX_VALUE
                    : TimeUnit.NANOSECONDS.toMillis(time.nanoTime() - at);
        }
    }

    void markCurrent(DirectoryTable table) {
        synchronized (currentAt) {
            currentAt.put(table, time.nanoTime());
        }
    }

    synchronized boolean replaceManifest(Manifest newer) {
        if (manifest.isDefined() && manifest.get().version() >= newer.version()) {
            return false;
        }
        manifest = Option.some(newer);
        listeners.forEach(listener -> listener.onManifestChanged(newer));
        return true;
    }

    synchronized void replaceVersion(String model, long version) {
        if (named.merge(model, version, Math::max) == version) {
            listeners.forEach(listener -> listener.onVersionNamed(model, version));
        }
    }

    synchronized void changeUpstreams(List<FleetUpstream> listed, List<String> gone) {
        gone.forEach(upstreams::remove);
        listed.forEach(upstream -> upstreams.put(upstream.id(), upstream));
        upstreamList = new ArrayList<>(upstreams.values());
        listeners.forEach(listener -> listener.onUpstreamsChanged(upstreamList));
    }

    synchronized void changeBatchStates(List<VersionedState> changed, List<String> removed) {
        changed.forEach(head -> heads.put(head.state().id(), head));
        removed.forEach(heads::remove);
        listeners.forEach(listener -> listener.onBatchStatesChanged(changed, removed));
    }

    synchronized void changePresences(List<Presence> changed, List<String> gone) {
        gone.forEach(presences::remove);
        changed.forEach(presence -> presences.put(presence.instance(), presence));
    }

    /** Returns the instances that have shown a sign of life lately and are not leaving. */
    public synchronized List<Peer> livePeers() {
        List<Peer> live = new ArrayList<>();
        long longest = LIVE_MILLIS + DirectoryTable.INSTANCES.intervalMillis(presences.size());
        for (Presence presence : presences.values()) {
            long written = presence.storeMillis();
            boolean recent = clock.millis().exists(now -> now - written < longest);
            if (!presence.leaving() && recent) {
                live.add(new Peer(presence.instance(), presence.start()));
            }
        }
        return live;
    }

    synchronized void batchContact(boolean present) {
        listeners.forEach(listener -> listener.onBatchTableAvailability(present));
    }
}
