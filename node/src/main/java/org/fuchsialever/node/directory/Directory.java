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
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.kernel.time.TimeSource;

/** The state of the mirrored tables. Written on the thread of the directory duty only. */
public final class Directory {
    /** Three heartbeat intervals of 0.7 s; the interval at which rows are read is added. */
    private static final long MAX_HEARTBEAT_AGE_MILLIS = 2_100;

    private final TimeSource mTime;
    private final StoreClock mClock;
    private final List<DirectoryListener> mListeners = new CopyOnWriteArrayList<>();
    private final Map<String, FleetUpstream> mUpstreams = new HashMap<>();
    private final Map<String, VersionedState> mBatchStates = new ConcurrentHashMap<>();
    private final Map<String, Long> mAnnouncedVersions = new ConcurrentHashMap<>();
    private final EnumMap<DirectoryTable, Long> mCurrentAtNanos =
            new EnumMap<>(DirectoryTable.class);
    private final Map<Integer, Presence> mPresences = new HashMap<>();
    private volatile boolean mMember;
    private volatile Option<Manifest> mManifest = Option.none();
    private volatile List<FleetUpstream> mUpstreamList = List.of();

    Directory(TimeSource time, StoreClock clock) {
        mTime = time;
        mClock = clock;
    }

    /** Adds a listener and calls it with the current state. */
    public synchronized void addListener(DirectoryListener listener) {
        mListeners.add(listener);
        mManifest.forEach(listener::onManifestChanged);
        listener.onUpstreamsChanged(mUpstreamList);
        mAnnouncedVersions.forEach(listener::onVersionNamed);
        listener.onBatchStatesChanged(List.copyOf(mBatchStates.values()), List.of());
    }

    /** Returns the manifest in force, or none before the first one was read. */
    public Option<Manifest> manifest() {
        return mManifest;
    }

    /** Returns the rank of a team's calls on a route, 0 is the most urgent. */
    public int rank(ForwardRoute route, String team) {
        return manifest().map(known -> known.rank(route, team)).getOrElse(route::priority);
    }

    /** Returns the upstreams. */
    public List<FleetUpstream> upstreams() {
        return mUpstreamList;
    }

    /** Returns the state of a submission, or none if it is not mirrored. */
    public Option<VersionedState> batchState(String id) {
        return Option.of(mBatchStates.get(id));
    }

    /** Returns all submissions. */
    public List<VersionedState> batchStates() {
        return List.copyOf(mBatchStates.values());
    }

    /**
     * Returns the time since a table was last known to be up to date, in milliseconds.
     *
     * @return {@link Long#MAX_VALUE} if it never was
     */
    public long stalenessMillis(DirectoryTable table) {
        synchronized (mCurrentAtNanos) {
            Long at = mCurrentAtNanos.get(table);
            return at == null
                    ? Long.MAX_VALUE
                    : TimeUnit.NANOSECONDS.toMillis(mTime.nanoTime() - at);
        }
    }

    void markCurrent(DirectoryTable table) {
        synchronized (mCurrentAtNanos) {
            mCurrentAtNanos.put(table, mTime.nanoTime());
        }
    }

    synchronized boolean replaceManifest(Manifest newer) {
        if (mManifest.isDefined() && mManifest.get().version() >= newer.version()) {
            return false;
        }
        mManifest = Option.some(newer);
        mListeners.forEach(listener -> listener.onManifestChanged(newer));
        return true;
    }

    synchronized void updateVersion(String model, long version) {
        if (mAnnouncedVersions.merge(model, version, Math::max) == version) {
            mListeners.forEach(listener -> listener.onVersionNamed(model, version));
        }
    }

    synchronized void changeUpstreams(List<FleetUpstream> listed, List<String> removed) {
        removed.forEach(mUpstreams::remove);
        listed.forEach(upstream -> mUpstreams.put(upstream.id(), upstream));
        mUpstreamList = new ArrayList<>(mUpstreams.values());
        mListeners.forEach(listener -> listener.onUpstreamsChanged(mUpstreamList));
    }

    synchronized void changeBatchStates(List<VersionedState> changed, List<String> removed) {
        changed.forEach(row -> mBatchStates.put(row.state().id(), row));
        removed.forEach(mBatchStates::remove);
        mListeners.forEach(listener -> listener.onBatchStatesChanged(changed, removed));
    }

    synchronized void changePresences(List<VersionedPresence> changed, List<Integer> removed) {
        removed.forEach(mPresences::remove);
        changed.forEach(row -> mPresences.put(row.presence().slot(), row.presence()));
        mListeners.forEach(listener -> listener.onPresencesChanged(changed, removed));
    }

    synchronized void notifyManifestCurrent(long asOfNanos) {
        mManifest.forEach(
                manifest ->
                        mListeners.forEach(
                                listener -> listener.onManifestCurrent(manifest, asOfNanos)));
    }

    synchronized void notifyPresencesCurrent() {
        mListeners.forEach(DirectoryListener::onPresencesCurrent);
    }

    void setMember(boolean member) {
        mMember = member;
    }

    /** Returns the members of the working set that are alive and not shutting down. */
    public synchronized List<Peer> livePeers() {
        List<Peer> live = new ArrayList<>();
        long maxAgeMillis =
                MAX_HEARTBEAT_AGE_MILLIS + DirectoryTable.INSTANCES.intervalMillis(mMember);
        for (Presence presence : mPresences.values()) {
            long writtenMillis = presence.storeMillis();
            boolean isRecent = mClock.millis().exists(now -> now - writtenMillis < maxAgeMillis);
            Peer peer = new Peer(presence.instance(), presence.start());
            if (!presence.leaving() && isRecent && !live.contains(peer)) {
                live.add(peer);
            }
        }
        return live;
    }

    synchronized void notifyBatchTableAvailability(boolean available) {
        mListeners.forEach(listener -> listener.onBatchTableAvailability(available));
    }

    /** A slot with the version of its row. */
    public record VersionedPresence(Presence presence, long version) {}
}
