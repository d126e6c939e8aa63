package org.fuchsialever.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a peer that blocks others and against queues that grow without bound. */
@Timeout(60)
class PeerTransportTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_QUEUED_FRAMES = 4;

    private final Closer mCloser = new Closer();

    @AfterEach
    void closeTransports() {
        mCloser.close();
    }

    private Peer peer(String name, int port) {
        return mCloser.register(name, new Peer(name, port));
    }

    @Test
    void messagesTravelInBothDirections() throws InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = peer("node-b", 0);
        a.knows(b);
        a.mTransport.send(b.mName, notice(1));
        assertThat(b.mReceived.take(), equalTo(notice(1)));
        // b does not know the address of a, so it uses the existing connection.
        b.mTransport.send(a.mName, notice(2));
        assertThat(a.mReceived.take(), equalTo(notice(2)));
    }

    @Test
    void bothSidesMayConnectAtOnce() throws InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = peer("node-b", 0);
        a.knows(b);
        b.knows(a);
        a.mTransport.send(b.mName, notice(1));
        b.mTransport.send(a.mName, notice(2));
        // One of the two connections is closed, and messages sent on it may be lost.
        a.sendUntilReceivedBy(b);
        b.sendUntilReceivedBy(a);
    }

    @Test
    void aFullQueueDropsTheOldestAndCountsThem() throws InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = peer("node-b", 0);
        for (int i = 0; i < 10; i++) {
            a.mTransport.send(b.mName, notice(i));
        }
        assertThat(a.mTransport.overflowCount(), equalTo(10L - MAX_QUEUED_FRAMES));
        a.knows(b);
        assertThat(b.mReceived.take(), equalTo(notice(10 - MAX_QUEUED_FRAMES)));
    }

    @Test
    void aPeerThatReadsNothingDoesNotBlockAnother() throws IOException, InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = peer("node-b", 0);
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            InstanceId silentName = new InstanceId("node-silent");
            a.mTransport.updateAddresses(
                    Map.of(
                            silentName,
                            new InetSocketAddress(LOOPBACK, silent.getLocalPort()),
                            b.mName,
                            new InetSocketAddress(LOOPBACK, b.mPort)));
            PeerMessage large =
                    new PeerMessage.KeyWithdrawals(
                            IntStream.range(0, 1_000)
                                    .mapToObj(i -> new KeyId("key-" + i))
                                    .collect(Collectors.toSet()));
            for (int i = 0; i < 1_000; i++) {
                a.mTransport.send(silentName, large);
            }
            assertThat(a.mTransport.overflowCount(), greaterThan(0L));
            a.mTransport.send(b.mName, notice(1));
            assertThat(b.mReceived.take(), equalTo(notice(1)));
        }
    }

    @Test
    void aRestartedPeerIsReachedAgain() throws InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = new Peer("node-b", 0);
        a.knows(b);
        a.mTransport.send(b.mName, notice(1));
        assertThat(b.mReceived.take(), equalTo(notice(1)));
        b.close();
        Peer restarted = peer("node-b", b.mPort);
        a.sendUntilReceivedBy(restarted);
    }

    @Test
    void aMessageAboveTheFrameLimitIsNotSentAndCounted() {
        Peer a = peer("node-a", 0);
        a.mTransport.send(
                new InstanceId("node-b"),
                new PeerMessage.KeyWithdrawals(
                        IntStream.range(0, 100_000)
                                .mapToObj(i -> new KeyId("key-" + i))
                                .collect(Collectors.toSet())));
        double counted =
                a.mMeters
                        .get("fuchsialever.peers.failures")
                        .tag("reason", "too-large")
                        .counter()
                        .count();
        assertThat(counted, is(1.0));
    }

    private static PeerMessage notice(int version) {
        return new PeerMessage.ConfigNotice(version, 0);
    }

    private static final class Peer implements AutoCloseable {
        private final InstanceId mName;
        private final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
        private final BlockingQueue<PeerMessage> mReceived = new LinkedBlockingQueue<>();
        private final PeerTransport mTransport;
        private final int mPort;

        Peer(String name, int port) {
            mName = new InstanceId(name);
            PeerTransportLimits limits =
                    new PeerTransportLimits(
                            64 * 1024,
                            MAX_QUEUED_FRAMES,
                            Duration.ofSeconds(2),
                            Duration.ofSeconds(10),
                            Duration.ofMillis(5),
                            Duration.ofMillis(50));
            mTransport =
                    new PeerTransport(
                            mName,
                            limits,
                            (sender, message) -> mReceived.add(message),
                            mMeters,
                            new SplittableRandom(3));
            mPort = mTransport.listen(LOOPBACK, port);
        }

        /** Sends until a message arrives; the timeout of the class fails the test if none does. */
        void sendUntilReceivedBy(Peer other) throws InterruptedException {
            boolean arrived = false;
            while (!arrived) {
                mTransport.send(other.mName, notice(1));
                arrived = other.mReceived.poll(10, TimeUnit.MILLISECONDS) != null;
            }
        }

        void knows(Peer other) {
            mTransport.updateAddresses(
                    Map.of(other.mName, new InetSocketAddress(LOOPBACK, other.mPort)));
        }

        @Override
        public void close() {
            mTransport.close();
        }
    }
}
