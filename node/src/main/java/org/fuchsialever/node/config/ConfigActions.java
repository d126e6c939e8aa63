package org.fuchsialever.node.config;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.decisions.config.ConfigAction;
import org.fuchsialever.decisions.config.ConfigEvent;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.findings.Finding;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.node.peerstate.PeerStateClient;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

/** Executes the actions of the configuration duty and returns their results as events. */
final class ConfigActions implements ActionSink<ConfigAction> {
    static final String PEER_STATE_PATH = "/operator/peer-state/configuration";

    private static final PartLogger LOG = PartLogger.of("config");

    private final TableService mTables;
    private final PeerStateClient mPeers;
    private final ConfigHolder mHolder;
    private final String mWriterPrefix;
    private final MeterRegistry mMeters;
    private final AtomicLong mConfirmations = new AtomicLong();
    private volatile @Nullable Inbox<ConfigEvent> mInbox;
    private volatile Option<String> mServedText = Option.none();

    ConfigActions(
            TableService tables,
            PeerStateClient peers,
            ConfigHolder holder,
            String writerPrefix,
            MeterRegistry meters) {
        mTables = tables;
        mPeers = peers;
        mHolder = holder;
        mWriterPrefix = writerPrefix;
        mMeters = meters;
        meters.counter("fuchsialever.config.refused");
        meters.counter("fuchsialever.config.read-failures");
    }

    void connect(Inbox<ConfigEvent> events) {
        mInbox = events;
    }

    /** Returns the snapshot in force for peers that ask for it; none while it may be stale. */
    Option<String> servedText() {
        return mHolder.status().freshness().isServable() ? mServedText : Option.none();
    }

    @Override
    public void emit(ConfigAction action) {
        if (action instanceof ConfigAction.ReadVersion) {
            offerResult(mTables.read(ConfigRows.TABLE, ConfigRows.CURRENT).map(this::versionRead));
        } else if (action instanceof ConfigAction.ConfirmVersion proof) {
            confirmVersion(proof);
        } else if (action instanceof ConfigAction.ReadSnapshot read) {
            readSnapshot(read.version());
        } else if (action instanceof ConfigAction.AskPeers) {
            askPeers();
        } else if (action instanceof ConfigAction.PublishSnapshot publish) {
            mServedText = Option.some(publish.text());
            mHolder.publish(publish.snapshot());
            LOG.info("Version " + publish.snapshot().version() + " is in force.");
        } else if (action instanceof ConfigAction.RaiseAlarm alarm) {
            reportRefusedVersion(alarm);
        } else if (action instanceof ConfigAction.PublishStatus change) {
            mHolder.publishStatus(change.status());
        }
    }

    private void confirmVersion(ConfigAction.ConfirmVersion proof) {
        Commit unchanged =
                new Commit(
                        mWriterPrefix + "-proof-" + mConfirmations.incrementAndGet(),
                        List.of(
                                new Commit.Condition(
                                        ConfigRows.TABLE, ConfigRows.CURRENT, proof.rowVersion())),
                        List.of(),
                        List.of());
        offerResult(
                mTables.commit(unchanged)
                        .map(
                                result ->
                                        result instanceof CommitResult.Conflict conflict
                                                ? versionRead(
                                                        Option.ofOptional(
                                                                conflict.rows().stream()
                                                                        .findFirst()))
                                                : new ConfigEvent.VersionConfirmed(
                                                        proof.version())));
    }

    private ConfigEvent versionRead(Option<Row> row) {
        if (row.isEmpty()) {
            return new ConfigEvent.VersionRead(0, 0);
        }
        Option<Long> version = ConfigRows.decodeVersion(row.get().value());
        if (version.isEmpty()) {
            LOG.warning("The row of the current version is malformed.");
            return readFailed();
        }
        return new ConfigEvent.VersionRead(version.get(), row.get().version());
    }

    private void readSnapshot(long version) {
        offerResult(
                mTables.read(ConfigRows.TABLE, ConfigRows.snapshotKey(version))
                        .map(
                                row ->
                                        row.isEmpty()
                                                ? readFailed()
                                                : new ConfigEvent.SnapshotRead(
                                                        version, row.get().value())));
    }

    private void askPeers() {
        mPeers.askAll(
                PEER_STATE_PATH,
                peerCount -> offer(new ConfigEvent.PeersListed(peerCount)),
                (peer, text) ->
                        offer(new ConfigEvent.PeerSnapshot(peer.instance(), peer.domain(), text)));
    }

    private void reportRefusedVersion(ConfigAction.RaiseAlarm alarm) {
        mMeters.counter("fuchsialever.config.refused").increment();
        LOG.warning(
                "Version "
                        + alarm.version()
                        + " is invalid; the last valid version stays in force.");
        for (Finding finding : alarm.findings()) {
            LOG.warning(finding.toString());
        }
    }

    private void offerResult(Mono<? extends ConfigEvent> result) {
        result.subscribe(this::offer, failure -> offer(readFailed()));
    }

    private ConfigEvent readFailed() {
        mMeters.counter("fuchsialever.config.read-failures").increment();
        return new ConfigEvent.ReadFailed();
    }

    private void offer(ConfigEvent event) {
        Inbox<ConfigEvent> events = mInbox;
        if (events != null) {
            events.offer(event);
        }
    }
}
