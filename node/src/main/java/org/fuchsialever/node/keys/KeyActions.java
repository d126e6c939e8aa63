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

/** Carries out the actions of the key duty and returns their results as events. */
final class KeyActions implements ActionSink<KeyAction> {
    static final String PEER_PATH = "/operator/peer-state/keys";

    private static final PartLogger LOG = PartLogger.of("keys");

    private final TableService tables;
    private final PeerStateClient peers;
    private final KeyViews views;
    private final WithdrawalWriter writer;
    private final TimeSource time;
    private final MeterRegistry meters;
    private final List<Consumer<Set<KeyId>>> listeners = new CopyOnWriteArrayList<>();
    private volatile @Nullable Inbox<KeyEvent> inbox;
    private volatile Option<String> known = Option.none();

    KeyActions(
            TableService tables,
            PeerStateClient peers,
            KeyViews views,
            String writerPrefix,
            TimeSource time,
            MeterRegistry meters) {
        this.tables = tables;
        this.peers = peers;
        this.views = views;
        this.writer = new WithdrawalWriter(tables, writerPrefix);
        this.time = time;
        this.meters = meters;
        meters.counter("fuchsialever.keys.read-failures");
        meters.counter("fuchsialever.keys.damaged-rows");
        meters.counter("fuchsialever.keys.calls-ended");
    }

    void connect(Inbox<KeyEvent> events) {
        inbox = events;
    }

    void addListener(Consumer<Set<KeyId>> listener) {
        listeners.add(listener);
    }

    /** Returns all keys for peers, or none before they were read. */
    Option<String> known() {
        return known;
    }

    @Override
    public void emit(KeyAction action) {
        if (action instanceof KeyAction.ReadKeys read) {
            readKeys(read.afterVersion());
        } else if (action instanceof KeyAction.AskPeers) {
            askPeers();
        } else if (action instanceof KeyAction.PublishKeyTable publish) {
            views.publish(publish.view());
        } else if (action instanceof KeyAction.PublishKeysForPeers publish) {
            known = Option.some(KeyStates.write(publish));
        } else if (action instanceof KeyAction.EndCallsOfKey end) {
            ended("of key " + end.key() + ", which was withdrawn", views.endCalls(end.key()));
        } else if (action instanceof KeyAction.EndAllKeyedCalls) {
            ended("of all keys, because withdrawals cannot be learnt", views.endAllCalls());
        } else if (action instanceof KeyAction.BroadcastWithdrawals spread) {
            listeners.forEach(listener -> listener.accept(spread.keys()));
        } else if (action instanceof KeyAction.StoreWithdrawal store) {
            store(store.key());
        }
    }

    private void readKeys(long afterVersion) {
        long asked = time.nanoTime();
        tables.scan(KeyRows.TABLE, "", afterVersion)
                .subscribe(
                        rows -> offer(new KeyEvent.KeysRead(readable(rows), asked)),
                        failure -> {
                            meters.counter("fuchsialever.keys.read-failures").increment();
                            offer(new KeyEvent.ReadFailed());
                        });
    }

    private List<KeyRow> readable(List<Row> rows) {
        List<KeyRow> readable = new ArrayList<>();
        for (Row row : rows) {
            Either<String, KeyRow> key = KeyRows.decode(row);
            if (key.isLeft()) {
                meters.counter("fuchsialever.keys.damaged-rows").increment();
                LOG.warning("Row of key \"" + row.key() + "\" is ignored: " + key.getLeft());
            } else {
                readable.add(key.get());
            }
        }
        return readable;
    }

    private void askPeers() {
        peers.askAll(
                PEER_PATH,
                listed -> offer(new KeyEvent.PeersListed(listed)),
                (peer, text) -> KeyStates.read(peer, text).forEach(this::offer));
    }

    private void store(KeyId key) {
        writer.store(key)
                .subscribe(
                        stored -> {
                            if (stored) {
                                offer(new KeyEvent.WithdrawalStored(key));
                            }
                        },
                        failure -> LOG.warning("Withdrawal of " + key + " waits: " + failure));
    }

    private void ended(String which, int count) {
        if (count > 0) {
            meters.counter("fuchsialever.keys.calls-ended").increment(count);
            LOG.info("Ended " + count + " calls " + which + ".");
        }
    }

    private void offer(KeyEvent event) {
        Inbox<KeyEvent> events = inbox;
        if (events != null) {
            events.offer(event);
        }
    }
}
