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
 * Keeps the configuration of an instance up to date. It polls the version row, never puts a lower
 * version in force than before, and keeps the last good snapshot when a newer one is malformed.
 */
public final class ConfigDuty implements Duty<ConfigEvent, ConfigAction> {
    private static final String MSG_DAMAGED = "snapshot.damaged";
    private static final String MSG_WRONG_VERSION = "snapshot.wrong-version";

    private final long pollNanos;
    private final InvariantMonitor invariants;
    private final PeerResponses<SnapshotText> peers = new PeerResponses<>(SnapshotText::version);

    private long nextPollNanos;
    private long highestSeen;
    private long served;
    private long refused;
    private long wanted;
    private Option<Long> proven = Option.none();
    private Freshness freshness = Freshness.UNPROVEN;
    private ConfigStatus published = ConfigStatus.NONE;

    /**
     * Creates the duty.
     *
     * @param pollInterval time between two reads of the version row
     * @param startNanos monotonic time of the first read in nanoseconds
     * @param invariants receives the result of checks
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
        } else if (event instanceof ConfigEvent.VersionConfirmed proof) {
            onVersionProven(proof.version(), actions);
        } else if (event instanceof ConfigEvent.SnapshotRead read) {
            onSnapshotRead(read, actions);
        } else if (event instanceof ConfigEvent.PeerVersion peer) {
            onVersionSeen(peer.version(), actions);
        } else if (event instanceof ConfigEvent.PeersListed listed) {
            peers.setPeerCount(listed.peers());
            startFromPeers(actions);
        } else if (event instanceof ConfigEvent.PeerSnapshot answer) {
            onPeerSnapshot(answer, actions);
        } else if (event instanceof ConfigEvent.ReadFailed && needsPeers()) {
            actions.emit(new AskPeers());
        }
        publishStatus(actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<ConfigAction> actions) {
        nextPollNanos = nowNanos + pollNanos;
        actions.emit(new ReadVersion());
        // A version that is known but not in force is asked for again: its read may have failed.
        if (wanted > served) {
            actions.emit(new ReadSnapshot(wanted));
        }
    }

    @Override
    public long nextTimerNanos() {
        return nextPollNanos;
    }

    private void onVersionRead(ConfigEvent.VersionRead read, ActionSink<ConfigAction> actions) {
        onVersionSeen(read.version(), actions);
        // A read may be stale, and after a restart no earlier version tells so.
        if (freshness != Freshness.PROVEN && proven.isEmpty()) {
            actions.emit(new ConfirmVersion(read.version(), read.rowVersion()));
        }
    }

    private void onVersionProven(long version, ActionSink<ConfigAction> actions) {
        onVersionSeen(version, actions);
        proven = Option.some(Math.max(version, proven.getOrElse(0L)));
        updateFreshness();
    }

    private void onVersionSeen(long version, ActionSink<ConfigAction> actions) {
        if (version > highestSeen) {
            highestSeen = version;
            wanted = version;
            actions.emit(new ReadSnapshot(version));
        }
    }

    private void onSnapshotRead(ConfigEvent.SnapshotRead read, ActionSink<ConfigAction> actions) {
        Findings findings = new Findings();
        Option<SnapshotText> tables = decode(read, findings);
        Option<ConfigSnapshot> snapshot = tables.flatMap(text -> parse(text, findings));
        if (snapshot.isEmpty()) {
            refuse(read.version(), findings.list(), actions);
            return;
        }
        serve(snapshot.get(), read.text(), actions);
        updateFreshness();
    }

    private void onPeerSnapshot(ConfigEvent.PeerSnapshot answer, ActionSink<ConfigAction> actions) {
        Either<String, SnapshotText> tables = SnapshotText.decode(answer.text());
        if (tables.isRight()) {
            peers.add(answer.peer(), answer.domain(), tables.get());
            if (freshness == Freshness.PROVEN) {
                // One answer is enough here: a version is immutable and can only be newer.
                serveFromPeer(tables.get(), actions);
            } else {
                startFromPeers(actions);
            }
        }
    }

    private void startFromPeers(ActionSink<ConfigAction> actions) {
        if (freshness != Freshness.PROVEN) {
            for (SnapshotText newest : peers.newest()) {
                serveFromPeer(newest, actions);
                if (served > 0) {
                    freshness = Freshness.FROM_PEERS;
                }
            }
        }
    }

    private void serveFromPeer(SnapshotText tables, ActionSink<ConfigAction> actions) {
        highestSeen = Math.max(highestSeen, tables.version());
        if (tables.version() <= served) {
            return;
        }
        Findings findings = new Findings();
        Option<ConfigSnapshot> snapshot = parse(tables, findings);
        if (snapshot.isEmpty()) {
            refuse(tables.version(), findings.list(), actions);
        } else {
            serve(snapshot.get(), tables.encode(), actions);
        }
    }

    private boolean needsPeers() {
        return freshness != Freshness.PROVEN || wanted > served;
    }

    private void updateFreshness() {
        boolean current = proven.exists(version -> served >= version || refused >= version);
        if (current && served > 0) {
            freshness = Freshness.PROVEN;
        }
    }

    private void serve(ConfigSnapshot snapshot, String text, ActionSink<ConfigAction> actions) {
        highestSeen = Math.max(highestSeen, snapshot.version());
        if (snapshot.version() <= served) {
            return;
        }
        long earlier = served;
        served = snapshot.version();
        invariants.check(
                Invariant.CONFIGURATION_MONOTONIC,
                served > earlier && served <= highestSeen,
                () -> "version " + served + " after " + earlier);
        actions.emit(new PublishSnapshot(snapshot, text));
    }

    /** Keeps the last good snapshot; looks for a newer good one just below the refused version. */
    private void refuse(long version, List<Finding> findings, ActionSink<ConfigAction> actions) {
        if (version > refused) {
            refused = version;
            actions.emit(new RaiseAlarm(version, findings));
        }
        if (wanted == version) {
            wanted = version - 1;
            if (wanted > served) {
                actions.emit(new ReadSnapshot(wanted));
            }
        }
        updateFreshness();
    }

    private void publishStatus(ActionSink<ConfigAction> actions) {
        boolean searchEnded = refused >= highestSeen && wanted <= served;
        boolean upToDate = served >= highestSeen || searchEnded;
        ConfigStatus status =
                new ConfigStatus(
                        served,
                        highestSeen,
                        freshness,
                        served > 0 && freshness.isServable() && upToDate);
        if (!status.equals(published)) {
            published = status;
            actions.emit(new PublishStatus(status));
        }
    }

    private static Option<SnapshotText> decode(ConfigEvent.SnapshotRead read, Findings findings) {
        Location place = Location.ofKey("snapshot/" + read.version());
        Either<String, SnapshotText> tables = SnapshotText.decode(read.text());
        if (tables.isLeft()) {
            findings.error(place, MSG_DAMAGED, "%s", tables.getLeft());
            return Option.none();
        }
        if (tables.get().version() != read.version()) {
            findings.error(
                    place, MSG_WRONG_VERSION, "the row holds version %d", tables.get().version());
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
