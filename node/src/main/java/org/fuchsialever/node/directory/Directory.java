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
    /** Three heartbeat intervals of 0.7 s; the interval at which rows are read is added. */
    private static final long MAX_HEARTBEAT_AGE_MILLIS = 2_100;

    private final TimeSource time;
    private final StoreClock clock;
    private final List<DirectoryListener> listeners = new CopyOnWriteArrayList<>();
    private final Map<String, FleetUpstream> upstreams = new HashMap<>();
    private final Map<String, VersionedState> batchStates = new ConcurrentHashMap<>();
    private final Map<String, Long> announcedVersions = new ConcurrentHashMap<>();
    private final EnumMap<DirectoryTable, Long> currentAtNanos =
            new EnumMap<>(DirectoryTable.class);
    private final Map<String, Presence> presences = new HashMap<>();
    private volatile Option<Manifest> manifest = Option.none();
    private volatile List<FleetUpstream> upstreamList = List.of();

    Directory(TimeSource time, StoreClock clock) {
        this.time = time;
        this.clock = clock;
    }

    /** Adds a listener and calls it with the current state. */
    public synchronized void addListener(DirectoryListener listener) {
        listeners.add(listener);
        manifest.forEach(listener::onManifestChanged);
        listener.onUpstreamsChanged(upstreamList);
        announcedVersions.forEach(listener::onVersionNamed);
        listener.onBatchStatesChanged(List.copyOf(batchStates.values()), List.of());
    }

    /** Returns the manifest in force, or none before the first one was read. */
    public Option<Manifest> manifest() {
        return manifest;
    }

    /** Returns the upstreams. */
    public List<FleetUpstream> upstreams() {
        return upstreamList;
    }

    /** Returns the state of a submission, or none if it is not mirrored. */
    public Option<VersionedState> batchState(String id) {
        return Option.of(batchStates.get(id));
    }

    /** Returns all submissions. */
    public List<VersionedState> batchStates() {
        return List.copyOf(batchStates.values());
    }

    /**
     * Returns the time since a table was last known to be up to date, in milliseconds.
     *
     * @return {@link Long#MAX_VALUE} if it never was
     */
    public long stalenessMillis(DirectoryTable table) {
        synchronized (currentAtNanos) {
            Long at = currentAtNanos.get(table);
            return at == null
                    ? Long.MAX_VALUE
                    : TimeUnit.NANOSECONDS.toMillis(time.nanoTime() - at);
        }
    }

    void markCurrent(DirectoryTable table) {
        synchronized (currentAtNanos) {
            currentAtNanos.put(table, time.nanoTime());
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

    synchronized void updateVersion(String model, long version) {
        if (announcedVersions.merge(model, version, Math::max) == version) {
            listeners.forEach(listener -> listener.onVersionNamed(model, version));
        }
    }

    synchronized void changeUpstreams(List<FleetUpstream> listed, List<String> removed) {
        removed.forEach(upstreams::remove);
        listed.forEach(upstream -> upstreams.put(upstream.id(), upstream));
        upstreamList = new ArrayList<>(upstreams.values());
        listeners.forEach(listener -> listener.onUpstreamsChanged(upstreamList));
    }

    synchronized void changeBatchStates(List<VersionedState> changed, List<String> removed) {
        changed.forEach(row -> batchStates.put(row.state().id(), row));
        removed.forEach(batchStates::remove);
        listeners.forEach(listener -> listener.onBatchStatesChanged(changed, removed));
    }

    synchronized void changePresences(List<Presence> changed, List<String> removed) {
        removed.forEach(presences::remove);
        changed.forEach(presence -> presences.put(presence.instance(), presence));
    }

    /** Returns the instances with a recent heartbeat that are not shutting down. */
    public synchronized List<Peer> livePeers() {
        List<Peer> live = new ArrayList<>();
        long maxAgeMillis =
                MAX_HEARTBEAT_AGE_MILLIS
                        + DirectoryTable.INSTANCES.intervalMillis(presences.size());
        for (Presence presence : presences.values()) {
            long writtenMillis = presence.storeMillis();
            boolean isRecent = clock.millis().exists(now -> now - writtenMillis < maxAgeMillis);
            if (!presence.leaving() && isRecent) {
                live.add(new Peer(presence.instance(), presence.start()));
            }
        }
        return live;
    }

    synchronized void notifyBatchTableAvailability(boolean available) {
        listeners.forEach(listener -> listener.onBatchTableAvailability(available));
    }
}
