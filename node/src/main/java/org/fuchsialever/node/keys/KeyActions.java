package org.fuchsialever.node.keys;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.fuchsialever.decisions.keys.KeyAction;
import org.fuchsialever.decisions.keys.KeyEvent;
import org.fuchsialever.decisions.keys.KeyRow;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.peerstate.PeerStateClient;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import org.jspecify.annotations.Nullable;

/** Executes the actions of the key duty and returns their results as events. */
final class KeyActions implements ActionSink<KeyAction> {
    static final String PEER_STATE_PATH = "/operator/peer-state/keys";

    private static final PartLogger LOG = PartLogger.of("keys");

    private final TableService mTables;
    private final PeerStateClient mPeers;
    private final KeyViews mViews;
    private final WithdrawalWriter mWriter;
    private final TimeSource mTime;
    private final MeterRegistry mMeters;
    private final List<Consumer<Set<KeyId>>> mListeners = new CopyOnWriteArrayList<>();
    private volatile @Nullable Inbox<KeyEvent> mInbox;
    private volatile Option<String> mPeerState = Option.none();

    KeyActions(
            TableService tables,
            PeerStateClient peers,
            KeyViews views,
            String writerPrefix,
            TimeSource time,
            MeterRegistry meters) {
        mTables = tables;
        mPeers = peers;
        mViews = views;
        mWriter = new WithdrawalWriter(tables, writerPrefix);
        mTime = time;
        mMeters = meters;
        meters.counter("fuchsialever.keys.read-failures");
        meters.counter("fuchsialever.keys.damaged-rows");
        meters.counter("fuchsialever.keys.calls-ended");
    }

    void connect(Inbox<KeyEvent> events) {
        mInbox = events;
    }

    void addListener(Consumer<Set<KeyId>> listener) {
        mListeners.add(listener);
    }

    /** Returns the key state sent to peers that ask for it, or none before keys were read. */
    Option<String> peerState() {
        return mPeerState;
    }

    @Override
    public void emit(KeyAction action) {
        if (action instanceof KeyAction.ReadKeys read) {
            readKeys(read.afterVersion());
        } else if (action instanceof KeyAction.AskPeers) {
            askPeers();
        } else if (action instanceof KeyAction.PublishKeyTable publish) {
            mViews.publish(publish.view());
        } else if (action instanceof KeyAction.PublishKeysForPeers publish) {
            mPeerState = Option.some(KeyStateJson.encode(publish));
        } else if (action instanceof KeyAction.EndCallsOfKey end) {
            recordEndedCalls(
                    "of key " + end.key() + ", which was withdrawn", mViews.endCalls(end.key()));
        } else if (action instanceof KeyAction.EndAllKeyedCalls) {
            recordEndedCalls("of all keys, because the keys are out of date", mViews.endAllCalls());
        } else if (action instanceof KeyAction.BroadcastWithdrawals broadcast) {
            mListeners.forEach(listener -> listener.accept(broadcast.keys()));
        } else if (action instanceof KeyAction.StoreWithdrawal store) {
            store(store.key());
        }
    }

    private void readKeys(long afterVersion) {
        long sentNanos = mTime.nanoTime();
        mTables.scan(KeyRows.TABLE, "", afterVersion)
                .subscribe(
                        rows -> offer(new KeyEvent.KeysRead(decodeRows(rows), sentNanos)),
                        failure -> {
                            mMeters.counter("fuchsialever.keys.read-failures").increment();
                            offer(new KeyEvent.ReadFailed());
                        });
    }

    private List<KeyRow> decodeRows(List<Row> rows) {
        List<KeyRow> readable = new ArrayList<>();
        for (Row row : rows) {
            Either<String, KeyRow> key = KeyRows.decode(row);
            if (key.isLeft()) {
                mMeters.counter("fuchsialever.keys.damaged-rows").increment();
                LOG.warning("Row of key \"" + row.key() + "\" is ignored: " + key.getLeft());
            } else {
                readable.add(key.get());
            }
        }
        return readable;
    }

    private void askPeers() {
        mPeers.askAll(
                PEER_STATE_PATH,
                peerCount -> offer(new KeyEvent.PeersListed(peerCount)),
                (peer, text) -> KeyStateJson.decode(peer, text).forEach(this::offer));
    }

    private void store(KeyId key) {
        mWriter.store(key)
                .subscribe(
                        stored -> {
                            if (stored) {
                                offer(new KeyEvent.WithdrawalStored(key));
                            }
                        },
                        failure ->
                                LOG.warning(
                                        "Withdrawal of "
                                                + key
                                                + " was not stored yet: "
                                                + failure));
    }

    private void recordEndedCalls(String which, int count) {
        if (count > 0) {
            mMeters.counter("fuchsialever.keys.calls-ended").increment(count);
            LOG.info("Ended " + count + " calls " + which + ".");
        }
    }

    private void offer(KeyEvent event) {
        Inbox<KeyEvent> events = mInbox;
        if (events != null) {
            events.offer(event);
        }
    }
}
