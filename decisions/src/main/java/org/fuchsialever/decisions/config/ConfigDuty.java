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

    private final long pollNanos;
    private final InvariantMonitor invariants;
    private final PeerResponses<SnapshotText> peerResponses =
            new PeerResponses<>(SnapshotText::version);

    private long nextPollNanos;
    private long highestSeen;
    private long servedVersion;
    private long rejectedVersion;
    private long wantedVersion;
    private Option<Long> confirmedVersion = Option.none();
    private Freshness freshness = Freshness.UNPROVEN;
    private ConfigStatus published = ConfigStatus.NONE;

    /**
     * Creates the duty.
     *
     * @param pollInterval time between two reads of the version row
     * @param startNanos monotonic time of the first read in nanoseconds
     * @param invariants receives the results of checks
     */
    public ConfigDuty(Duration pollInterval, long startNanos, InvariantMonitor invariants) {
        this.pollNanos = pollInterval.toNanos();
        this.nextPollNanos = startNanos;
        this.invariants = invariants;
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
            peerResponses.setPeerCount(listed.peers());
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
        nextPollNanos = nowNanos + pollNanos;
        actions.emit(new ReadVersion());
        // A known version that is not in force is read again: its read may have failed.
        if (wantedVersion > servedVersion) {
            actions.emit(new ReadSnapshot(wantedVersion));
        }
    }

    @Override
    public long nextTimerNanos() {
        return nextPollNanos;
    }

    private void onVersionRead(ConfigEvent.VersionRead read, ActionSink<ConfigAction> actions) {
        onVersionSeen(read.version(), actions);
        // The read may be stale; after a restart there is no earlier version that would reveal it.
        if (freshness != Freshness.PROVEN && confirmedVersion.isEmpty()) {
            actions.emit(new ConfirmVersion(read.version(), read.rowVersion()));
        }
    }

    private void onVersionConfirmed(long version, ActionSink<ConfigAction> actions) {
        onVersionSeen(version, actions);
        confirmedVersion = Option.some(Math.max(version, confirmedVersion.getOrElse(0L)));
        updateFreshness();
    }

    private void onVersionSeen(long version, ActionSink<ConfigAction> actions) {
        if (version > highestSeen) {
            highestSeen = version;
            wantedVersion = version;
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
            peerResponses.add(response.peer(), response.domain(), tables.get());
            if (freshness == Freshness.PROVEN) {
                // One response suffices here: versions are immutable, and an older one is ignored.
                serveFromPeer(tables.get(), actions);
            } else {
                startFromPeers(actions);
            }
        }
    }

    private void startFromPeers(ActionSink<ConfigAction> actions) {
        if (freshness != Freshness.PROVEN) {
            for (SnapshotText newest : peerResponses.newest()) {
                serveFromPeer(newest, actions);
                if (servedVersion > 0) {
                    freshness = Freshness.FROM_PEERS;
                }
            }
        }
    }

    private void serveFromPeer(SnapshotText tables, ActionSink<ConfigAction> actions) {
        highestSeen = Math.max(highestSeen, tables.version());
        if (tables.version() <= servedVersion) {
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
        return freshness != Freshness.PROVEN || wantedVersion > servedVersion;
    }

    private void updateFreshness() {
        boolean current =
                confirmedVersion.exists(
                        version -> servedVersion >= version || rejectedVersion >= version);
        if (current && servedVersion > 0) {
            freshness = Freshness.PROVEN;
        }
    }

    private void serve(ConfigSnapshot snapshot, String text, ActionSink<ConfigAction> actions) {
        highestSeen = Math.max(highestSeen, snapshot.version());
        if (snapshot.version() <= servedVersion) {
            return;
        }
        long earlier = servedVersion;
        servedVersion = snapshot.version();
        invariants.check(
                Invariant.CONFIGURATION_MONOTONIC,
                servedVersion > earlier && servedVersion <= highestSeen,
                () -> "version " + servedVersion + " after " + earlier);
        actions.emit(new PublishSnapshot(snapshot, text));
    }

    /** Rejects a version, keeps the last valid snapshot and tries the version before this one. */
    private void reject(long version, List<Finding> findings, ActionSink<ConfigAction> actions) {
        if (version > rejectedVersion) {
            rejectedVersion = version;
            actions.emit(new RaiseAlarm(version, findings));
        }
        if (wantedVersion == version) {
            wantedVersion = version - 1;
            if (wantedVersion > servedVersion) {
                actions.emit(new ReadSnapshot(wantedVersion));
            }
        }
        updateFreshness();
    }

    private void publishStatus(ActionSink<ConfigAction> actions) {
        boolean searchEnded = rejectedVersion >= highestSeen && wantedVersion <= servedVersion;
        boolean upToDate = servedVersion >= highestSeen || searchEnded;
        ConfigStatus status =
                new ConfigStatus(
                        servedVersion,
                        highestSeen,
                        freshness,
                        servedVersion > 0 && freshness.isServable() && upToDate);
        if (!status.equals(published)) {
            published = status;
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
