package org.fuchsialever.cli.soak;

import io.vavr.control.Option;
import java.util.Objects;
import java.util.function.Supplier;
import org.fuchsialever.decisions.config.ConfigAction;
import org.fuchsialever.decisions.config.ConfigEvent;
import org.fuchsialever.decisions.keys.KeyAction;
import org.fuchsialever.decisions.keys.KeyEvent;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.jspecify.annotations.Nullable;

/** Carries out what the configuration and key duties of an instance ask of the outside. */
final class SoakStoreClient {
    private final SoakInstance instance;
    private final SoakWorld world;
    private @Nullable ActionSink<ConfigEvent> config;
    private @Nullable ActionSink<KeyEvent> keys;
    private Option<KeyAction.PublishKeysForPeers> known = Option.none();
    private Option<String> served = Option.none();

    SoakStoreClient(SoakInstance instance, SoakWorld world) {
        this.instance = instance;
        this.world = world;
    }

    void connect(ActionSink<ConfigEvent> configEvents, ActionSink<KeyEvent> keyEvents) {
        config = configEvents;
        keys = keyEvents;
    }

    void carryOut(KeyAction action) {
        ActionSink<KeyEvent> sink = Objects.requireNonNull(keys);
        SoakStore store = world.store;
        if (action instanceof KeyAction.ReadKeys read) {
            long asked = world.timeline.now();
            request(
                    sink,
                    () -> new KeyEvent.KeysRead(store.keysAfter(read.afterVersion()), asked),
                    Option.some(new KeyEvent.ReadFailed()));
        } else if (action instanceof KeyAction.StoreWithdrawal withdrawal) {
            request(
                    sink,
                    () -> {
                        store.withdraw(withdrawal.key());
                        return new KeyEvent.WithdrawalStored(withdrawal.key());
                    },
                    Option.none());
        } else if (action instanceof KeyAction.BroadcastWithdrawals spread) {
            for (SoakInstance peer : world.instances()) {
                if (peer != instance && !world.lost()) {
                    world.timeline.after(
                            world.latency(),
                            () -> peer.send(new KeyEvent.PeerWithdrawals(spread.keys())));
                }
            }
        } else if (action instanceof KeyAction.PublishKeysForPeers published) {
            known = Option.some(published);
        } else if (action instanceof KeyAction.AskPeers) {
            answer(sink, new KeyEvent.PeersListed(world.instances().size() - 1));
            for (SoakInstance peer : world.instances()) {
                if (peer != instance) {
                    peer.knownKeys()
                            .forEach(
                                    content ->
                                            answer(
                                                    sink,
                                                    new KeyEvent.PeerKeys(
                                                            new InstanceId(peer.name),
                                                            peer.domain,
                                                            content.rows(),
                                                            content.withdrawals())));
                }
            }
        }
    }

    void carryOut(ConfigAction action) {
        ActionSink<ConfigEvent> sink = Objects.requireNonNull(config);
        Option<ConfigEvent> failed = Option.some(new ConfigEvent.ReadFailed());
        SoakStore store = world.store;
        if (action instanceof ConfigAction.ReadVersion) {
            request(
                    sink,
                    () -> new ConfigEvent.VersionRead(store.readVersion(), store.readRowVersion()),
                    failed);
        } else if (action instanceof ConfigAction.ConfirmVersion proof) {
            request(
                    sink,
                    () ->
                            proof.rowVersion() == store.currentRowVersion()
                                    ? new ConfigEvent.VersionConfirmed(proof.version())
                                    : new ConfigEvent.VersionRead(
                                            store.currentVersion(), store.currentRowVersion()),
                    failed);
        } else if (action instanceof ConfigAction.ReadSnapshot read) {
            request(sink, () -> readSnapshot(read.version()), failed);
        } else if (action instanceof ConfigAction.AskPeers) {
            answer(sink, new ConfigEvent.PeersListed(world.instances().size() - 1));
            for (SoakInstance peer : world.instances()) {
                if (peer != instance) {
                    peer.servedText()
                            .forEach(
                                    text ->
                                            answer(
                                                    sink,
                                                    new ConfigEvent.PeerSnapshot(
                                                            new InstanceId(peer.name),
                                                            peer.domain,
                                                            text)));
                }
            }
        } else if (action instanceof ConfigAction.PublishSnapshot publish) {
            served = Option.some(publish.text());
            instance.publish(publish.snapshot());
        } else if (action instanceof ConfigAction.PublishStatus change) {
            instance.publish(change.status());
        } else if (action instanceof ConfigAction.RaiseAlarm alarm) {
            throw new IllegalStateException("a good table was refused: " + alarm.findings());
        }
    }

    Option<KeyAction.PublishKeysForPeers> known() {
        return known;
    }

    Option<String> served() {
        return served;
    }

    private ConfigEvent readSnapshot(long version) {
        String text = world.store.snapshot(version);
        return text.isEmpty()
                ? new ConfigEvent.ReadFailed()
                : new ConfigEvent.SnapshotRead(version, text);
    }

    /** Sends a request to the store; request or answer may be lost. */
    private <E> void request(ActionSink<E> sink, Supplier<E> call, Option<? extends E> failed) {
        world.timeline.after(
                world.latency(),
                () -> {
                    if (world.store.down) {
                        failed.forEach(event -> answer(sink, event));
                        return;
                    }
                    E result = call.get();
                    if (world.lost()) {
                        failed.forEach(event -> answer(sink, event));
                    } else {
                        answer(sink, result);
                    }
                });
    }

    private <E> void answer(ActionSink<E> sink, E event) {
        world.timeline.after(world.latency(), () -> instance.receive(() -> sink.emit(event)));
    }
}
