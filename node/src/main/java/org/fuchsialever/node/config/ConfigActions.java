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

/** Carries out the actions of the configuration duty and returns their results as events. */
final class ConfigActions implements ActionSink<ConfigAction> {
    static final String PEER_PATH = "/operator/peer-state/configuration";

    private static final PartLogger LOG = PartLogger.of("config");

    private final TableService tables;
    private final PeerStateClient peers;
    private final ConfigHolder holder;
    private final String writerPrefix;
    private final MeterRegistry meters;
    private final AtomicLong proofs = new AtomicLong();
    private volatile @Nullable Inbox<ConfigEvent> inbox;
    private volatile Option<String> servedText = Option.none();

    ConfigActions(
            TableService tables,
            PeerStateClient peers,
            ConfigHolder holder,
            String writerPrefix,
            MeterRegistry meters) {
        this.tables = tables;
        this.peers = peers;
        this.holder = holder;
        this.writerPrefix = writerPrefix;
        this.meters = meters;
        meters.counter("fuchsialever.config.refused");
        meters.counter("fuchsialever.config.read-failures");
    }

    void connect(Inbox<ConfigEvent> events) {
        inbox = events;
    }

    /** Returns the snapshot in force for peers; none while it may be a stale one. */
    Option<String> servedText() {
        return holder.status().freshness().isServable() ? servedText : Option.none();
    }

    @Override
    public void emit(ConfigAction action) {
        if (action instanceof ConfigAction.ReadVersion) {
            report(tables.read(ConfigRows.TABLE, ConfigRows.CURRENT).map(this::versionRead));
        } else if (action instanceof ConfigAction.ConfirmVersion proof) {
            prove(proof);
        } else if (action instanceof ConfigAction.ReadSnapshot read) {
            readSnapshot(read.version());
        } else if (action instanceof ConfigAction.AskPeers) {
            askPeers();
        } else if (action instanceof ConfigAction.PublishSnapshot publish) {
            servedText = Option.some(publish.text());
            holder.publish(publish.snapshot());
            LOG.info("Version " + publish.snapshot().version() + " is in force.");
        } else if (action instanceof ConfigAction.RaiseAlarm alarm) {
            raise(alarm);
        } else if (action instanceof ConfigAction.PublishStatus change) {
            holder.publishStatus(change.status());
        }
    }

    private void prove(ConfigAction.ConfirmVersion proof) {
        Commit unchanged =
                new Commit(
                        writerPrefix + "-proof-" + proofs.incrementAndGet(),
                        List.of(
                                new Commit.Condition(
                                        ConfigRows.TABLE, ConfigRows.CURRENT, proof.rowVersion())),
                        List.of(),
                        List.of());
        report(
                tables.commit(unchanged)
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
            LOG.warning("The version row is damaged.");
            return readFailed();
        }
        return new ConfigEvent.VersionRead(version.get(), row.get().version());
    }

    private void readSnapshot(long version) {
        report(
                tables.read(ConfigRows.TABLE, ConfigRows.snapshotKey(version))
                        .map(
                                row ->
                                        row.isEmpty()
                                                ? readFailed()
                                                : new ConfigEvent.SnapshotRead(
                                                        version, row.get().value())));
    }

    private void askPeers() {
        peers.askAll(
                PEER_PATH,
                listed -> offer(new ConfigEvent.PeersListed(listed)),
                (peer, text) ->
                        offer(new ConfigEvent.PeerSnapshot(peer.instance(), peer.domain(), text)));
    }

    private void raise(ConfigAction.RaiseAlarm alarm) {
        meters.counter("fuchsialever.config.refused").increment();
        LOG.warning("Version " + alarm.version() + " cannot be used; the last good one stays.");
        for (Finding finding : alarm.findings()) {
            LOG.warning(finding.toString());
        }
    }

    private void report(Mono<? extends ConfigEvent> result) {
        result.subscribe(this::offer, failure -> offer(readFailed()));
    }

    private ConfigEvent readFailed() {
        meters.counter("fuchsialever.config.read-failures").increment();
        return new ConfigEvent.ReadFailed();
    }

    private void offer(ConfigEvent event) {
        Inbox<ConfigEvent> events = inbox;
        if (events != null) {
            events.offer(event);
        }
    }
}
