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
    private final SoakInstance mInstance;
    private final SoakWorld mWorld;
    private @Nullable ActionSink<ConfigEvent> mConfig;
    private @Nullable ActionSink<KeyEvent> mKeys;
    private Option<KeyAction.PublishKeysForPeers> mKnown = Option.none();
    private Option<String> mServed = Option.none();

    SoakStoreClient(SoakInstance instance, SoakWorld world) {
        mInstance = instance;
        mWorld = world;
    }

    void connect(ActionSink<ConfigEvent> configEvents, ActionSink<KeyEvent> keyEvents) {
        mConfig = configEvents;
        mKeys = keyEvents;
    }

    void carryOut(KeyAction action) {
        ActionSink<KeyEvent> sink = Objects.requireNonNull(mKeys);
        SoakStore store = mWorld.mStore;
        if (action instanceof KeyAction.ReadKeys read) {
            long asked = mWorld.mTimeline.now();
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
            for (SoakInstance peer : mWorld.instances()) {
                if (peer != mInstance && !mWorld.lost()) {
                    mWorld.mTimeline.after(
                            mWorld.latency(),
                            () -> peer.send(new KeyEvent.PeerWithdrawals(spread.keys())));
                }
            }
        } else if (action instanceof KeyAction.PublishKeysForPeers published) {
            mKnown = Option.some(published);
        } else if (action instanceof KeyAction.AskPeers) {
            answer(sink, new KeyEvent.PeersListed(mWorld.instances().size() - 1));
            for (SoakInstance peer : mWorld.instances()) {
                if (peer != mInstance) {
                    peer.knownKeys()
                            .forEach(
                                    content ->
                                            answer(
                                                    sink,
                                                    new KeyEvent.PeerKeys(
                                                            new InstanceId(peer.mName),
                                                            peer.mDomain,
                                                            content.rows(),
                                                            content.withdrawals())));
                }
            }
        }
    }

    void carryOut(ConfigAction action) {
        ActionSink<ConfigEvent> sink = Objects.requireNonNull(mConfig);
        Option<ConfigEvent> failed = Option.some(new ConfigEvent.ReadFailed());
        SoakStore store = mWorld.mStore;
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
            answer(sink, new ConfigEvent.PeersListed(mWorld.instances().size() - 1));
            for (SoakInstance peer : mWorld.instances()) {
                if (peer != mInstance) {
                    peer.servedText()
                            .forEach(
                                    text ->
                                            answer(
                                                    sink,
                                                    new ConfigEvent.PeerSnapshot(
                                                            new InstanceId(peer.mName),
                                                            peer.mDomain,
                                                            text)));
                }
            }
        } else if (action instanceof ConfigAction.PublishSnapshot publish) {
            mServed = Option.some(publish.text());
            mInstance.publish(publish.snapshot());
        } else if (action instanceof ConfigAction.PublishStatus change) {
            mInstance.publish(change.status());
        } else if (action instanceof ConfigAction.RaiseAlarm alarm) {
            throw new IllegalStateException("a good table was refused: " + alarm.findings());
        }
    }

    Option<KeyAction.PublishKeysForPeers> known() {
        return mKnown;
    }

    Option<String> served() {
        return mServed;
    }

    private ConfigEvent readSnapshot(long version) {
        String text = mWorld.mStore.snapshot(version);
        return text.isEmpty()
                ? new ConfigEvent.ReadFailed()
                : new ConfigEvent.SnapshotRead(version, text);
    }

    /** Sends a request to the store; request or answer may be lost. */
    private <E> void request(ActionSink<E> sink, Supplier<E> call, Option<? extends E> failed) {
        mWorld.mTimeline.after(
                mWorld.latency(),
                () -> {
                    if (mWorld.mStore.mDown) {
                        failed.forEach(event -> answer(sink, event));
                        return;
                    }
                    E result = call.get();
                    if (mWorld.lost()) {
                        failed.forEach(event -> answer(sink, event));
                    } else {
                        answer(sink, result);
                    }
                });
    }

    private <E> void answer(ActionSink<E> sink, E event) {
        mWorld.mTimeline.after(mWorld.latency(), () -> mInstance.receive(() -> sink.emit(event)));
    }
}
