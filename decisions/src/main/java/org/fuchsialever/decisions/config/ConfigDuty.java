package org.fuchsialever.decisions.config;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.fuchsialever.decisions.config.ConfigAction.AskPeers;
import org.fuchsialever.decisions.config.ConfigAction.ConfirmVersion;
import org.fuchsialever.decisions.config.ConfigAction.PublishSnapshot;
import org.fuchsialever.decisions.config.ConfigAction.PublishStatus;
import org.fuchsialever.decisions.config.ConfigAction.RaiseAlarm;
import org.fuchsialever.decisions.config.ConfigAction.ReadSnapshot;
import org.fuchsialever.decisions.config.ConfigAction.ReadVersion;
import org.fuchsialever.decisions.config.ConfigStatus.Freshness;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.findings.Finding;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.findings.Location;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/**
 * Keeps the configuration of an instance up to date. It polls the version row, never replaces a
 * version by a lower one, and keeps the last valid snapshot when a newer one is malformed.
 */
public final class ConfigDuty implements Duty<ConfigEvent, ConfigAction> {
    private static final String MSG_DAMAGED = "snapshot.damaged";
    private static final String MSG_WRONG_VERSION = "snapshot.wrong-version";

    private final long mPollNanos;
    private final InvariantMonitor mInvariants;
    private final PeerResponses<SnapshotText> mPeerResponses =
            new PeerResponses<>(SnapshotText::version);

    private long mNextPollNanos;
    private long mHighestSeen;
    private long mServedVersion;
    private long mRejectedVersion;
    private long mWantedVersion;
    private Option<Long> mConfirmedVersion = Option.none();
    private Freshness mFreshness = Freshness.UNPROVEN;
    private ConfigStatus mPublished = ConfigStatus.NONE;

    /**
     * Creates the duty.
     *
     * @param pollInterval time between two reads of the version row
     * @param startNanos monotonic time of the first read in nanoseconds
     * @param invariants receives the results of checks
     */
    public ConfigDuty(Duration pollInterval, long startNanos, InvariantMonitor invariants) {
        mPollNanos = pollInterval.toNanos();
        mNextPollNanos = startNanos;
        mInvariants = invariants;
    }

    @Override
    public String dutyName() {
        return "config";
    }

    @Override
    public void onEvent(ConfigEvent event, long nowNanos, ActionSink<ConfigAction> actions) {
        if (event instanceof ConfigEvent.VersionRead read) {
            onVersionRead(read, actions);
        } else if (event instanceof ConfigEvent.VersionConfirmed confirmation) {
            onVersionConfirmed(confirmation.version(), actions);
        } else if (event instanceof ConfigEvent.SnapshotRead read) {
            onSnapshotRead(read, actions);
        } else if (event instanceof ConfigEvent.PeerVersion peer) {
            onVersionSeen(peer.version(), actions);
        } else if (event instanceof ConfigEvent.PeersListed listed) {
            mPeerResponses.setPeerCount(listed.peers());
            startFromPeers(actions);
        } else if (event instanceof ConfigEvent.PeerSnapshot response) {
            onPeerSnapshot(response, actions);
        } else if (event instanceof ConfigEvent.ReadFailed && needsPeers()) {
            actions.emit(new AskPeers());
        }
        publishStatus(actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<ConfigAction> actions) {
        mNextPollNanos = nowNanos + mPollNanos;
        actions.emit(new ReadVersion());
        // A known version that is not in force is read again: its read may have failed.
        if (mWantedVersion > mServedVersion) {
            actions.emit(new ReadSnapshot(mWantedVersion));
        }
    }

    @Override
    public long nextTimerNanos() {
        return mNextPollNanos;
    }

    private void onVersionRead(ConfigEvent.VersionRead read, ActionSink<ConfigAction> actions) {
        onVersionSeen(read.version(), actions);
        // The read may be stale; after a restart there is no earlier version that would reveal it.
        if (mFreshness != Freshness.PROVEN && mConfirmedVersion.isEmpty()) {
            actions.emit(new ConfirmVersion(read.version(), read.rowVersion()));
        }
    }

    private void onVersionConfirmed(long version, ActionSink<ConfigAction> actions) {
        onVersionSeen(version, actions);
        mConfirmedVersion = Option.some(Math.max(version, mConfirmedVersion.getOrElse(0L)));
        updateFreshness();
    }

    private void onVersionSeen(long version, ActionSink<ConfigAction> actions) {
        if (version > mHighestSeen) {
            mHighestSeen = version;
            mWantedVersion = version;
            actions.emit(new ReadSnapshot(version));
        }
    }

    private void onSnapshotRead(ConfigEvent.SnapshotRead read, ActionSink<ConfigAction> actions) {
        Findings findings = new Findings();
        Option<SnapshotText> tables = decode(read, findings);
        Option<ConfigSnapshot> snapshot = tables.flatMap(text -> parse(text, findings));
        if (snapshot.isEmpty()) {
            reject(read.version(), findings.list(), actions);
            return;
        }
        serve(snapshot.get(), read.text(), actions);
        updateFreshness();
    }

    private void onPeerSnapshot(
            ConfigEvent.PeerSnapshot response, ActionSink<ConfigAction> actions) {
        Either<String, SnapshotText> tables = SnapshotText.decode(response.text());
        if (tables.isRight()) {
            mPeerResponses.add(response.peer(), response.domain(), tables.get());
            if (mFreshness == Freshness.PROVEN) {
                // One response suffices here: versions are immutable, and an older one is ignored.
                serveFromPeer(tables.get(), actions);
            } else {
                startFromPeers(actions);
            }
        }
    }

    private void startFromPeers(ActionSink<ConfigAction> actions) {
        if (mFreshness != Freshness.PROVEN) {
            for (SnapshotText newest : mPeerResponses.newest()) {
                serveFromPeer(newest, actions);
                if (mServedVersion > 0) {
                    mFreshness = Freshness.FROM_PEERS;
                }
            }
        }
    }

    private void serveFromPeer(SnapshotText tables, ActionSink<ConfigAction> actions) {
        mHighestSeen = Math.max(mHighestSeen, tables.version());
        if (tables.version() <= mServedVersion) {
            return;
        }
        Findings findings = new Findings();
        Option<ConfigSnapshot> snapshot = parse(tables, findings);
        if (snapshot.isEmpty()) {
            reject(tables.version(), findings.list(), actions);
        } else {
            serve(snapshot.get(), tables.encode(), actions);
        }
    }

    private boolean needsPeers() {
        return mFreshness != Freshness.PROVEN || mWantedVersion > mServedVersion;
    }

    private void updateFreshness() {
        boolean current =
                mConfirmedVersion.exists(
                        version -> mServedVersion >= version || mRejectedVersion >= version);
        if (current && mServedVersion > 0) {
            mFreshness = Freshness.PROVEN;
        }
    }

    private void serve(ConfigSnapshot snapshot, String text, ActionSink<ConfigAction> actions) {
        mHighestSeen = Math.max(mHighestSeen, snapshot.version());
        if (snapshot.version() <= mServedVersion) {
            return;
        }
        long earlier = mServedVersion;
        mServedVersion = snapshot.version();
        mInvariants.check(
                Invariant.CONFIGURATION_MONOTONIC,
                mServedVersion > earlier && mServedVersion <= mHighestSeen,
                () -> "version " + mServedVersion + " after " + earlier);
        actions.emit(new PublishSnapshot(snapshot, text));
    }

    /** Rejects a version, keeps the last valid snapshot and tries the version before this one. */
    private void reject(long version, List<Finding> findings, ActionSink<ConfigAction> actions) {
        if (version > mRejectedVersion) {
            mRejectedVersion = version;
            actions.emit(new RaiseAlarm(version, findings));
        }
        if (mWantedVersion == version) {
            mWantedVersion = version - 1;
            if (mWantedVersion > mServedVersion) {
                actions.emit(new ReadSnapshot(mWantedVersion));
            }
        }
        updateFreshness();
    }

    private void publishStatus(ActionSink<ConfigAction> actions) {
        boolean searchEnded = mRejectedVersion >= mHighestSeen && mWantedVersion <= mServedVersion;
        boolean upToDate = mServedVersion >= mHighestSeen || searchEnded;
        ConfigStatus status =
                new ConfigStatus(
                        mServedVersion,
                        mHighestSeen,
                        mFreshness,
                        mServedVersion > 0 && mFreshness.isServable() && upToDate);
        if (!status.equals(mPublished)) {
            mPublished = status;
            actions.emit(new PublishStatus(status));
        }
    }

    private static Option<SnapshotText> decode(ConfigEvent.SnapshotRead read, Findings findings) {
        Location location = Location.ofKey("snapshot/" + read.version());
        Either<String, SnapshotText> tables = SnapshotText.decode(read.text());
        if (tables.isLeft()) {
            findings.error(location, MSG_DAMAGED, "%s", tables.getLeft());
            return Option.none();
        }
        if (tables.get().version() != read.version()) {
            findings.error(
                    location,
                    MSG_WRONG_VERSION,
                    "the row holds version %d",
                    tables.get().version());
            return Option.none();
        }
        return tables.toOption();
    }

    private static Option<ConfigSnapshot> parse(SnapshotText tables, Findings findings) {
        return TableParser.parse(
                tables.version(),
                "routes.ini",
                tables.routes(),
                "pools.ini",
                tables.pools(),
                findings);
    }
}
