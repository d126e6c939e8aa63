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

    private final Closer closer = new Closer();

    @AfterEach
    void closeTransports() {
        closer.close();
    }

    private Peer peer(String name, int port) {
        return closer.register(name, new Peer(name, port));
    }

    @Test
    void messagesTravelInBothDirections() throws InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = peer("node-b", 0);
        a.knows(b);
        a.transport.send(b.name, notice(1));
        assertThat(b.received.take(), equalTo(notice(1)));
        // b does not know the address of a, so it uses the existing connection.
        b.transport.send(a.name, notice(2));
        assertThat(a.received.take(), equalTo(notice(2)));
    }

    @Test
    void bothSidesMayConnectAtOnce() throws InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = peer("node-b", 0);
        a.knows(b);
        b.knows(a);
        a.transport.send(b.name, notice(1));
        b.transport.send(a.name, notice(2));
        // One of the two connections is closed, and messages sent on it may be lost.
        a.sendUntilReceivedBy(b);
        b.sendUntilReceivedBy(a);
    }

    @Test
    void aFullQueueDropsTheOldestAndCountsThem() throws InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = peer("node-b", 0);
        for (int i = 0; i < 10; i++) {
            a.transport.send(b.name, notice(i));
        }
        assertThat(a.transport.overflowCount(), equalTo(10L - MAX_QUEUED_FRAMES));
        a.knows(b);
        assertThat(b.received.take(), equalTo(notice(10 - MAX_QUEUED_FRAMES)));
    }

    @Test
    void aPeerThatReadsNothingDoesNotBlockAnother() throws IOException, InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = peer("node-b", 0);
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            InstanceId silentName = new InstanceId("node-silent");
            a.transport.updateAddresses(
                    Map.of(
                            silentName,
                            new InetSocketAddress(LOOPBACK, silent.getLocalPort()),
                            b.name,
                            new InetSocketAddress(LOOPBACK, b.port)));
            PeerMessage large =
                    new PeerMessage.KeyWithdrawals(
                            IntStream.range(0, 1_000)
                                    .mapToObj(i -> new KeyId("key-" + i))
                                    .collect(Collectors.toSet()));
            for (int i = 0; i < 1_000; i++) {
                a.transport.send(silentName, large);
            }
            assertThat(a.transport.overflowCount(), greaterThan(0L));
            a.transport.send(b.name, notice(1));
            assertThat(b.received.take(), equalTo(notice(1)));
        }
    }

    @Test
    void aRestartedPeerIsReachedAgain() throws InterruptedException {
        Peer a = peer("node-a", 0);
        Peer b = new Peer("node-b", 0);
        a.knows(b);
        a.transport.send(b.name, notice(1));
        assertThat(b.received.take(), equalTo(notice(1)));
        b.close();
        Peer restarted = peer("node-b", b.port);
        a.sendUntilReceivedBy(restarted);
    }

    @Test
    void aMessageAboveTheFrameLimitIsNotSentAndCounted() {
        Peer a = peer("node-a", 0);
        a.transport.send(
                new InstanceId("node-b"),
                new PeerMessage.KeyWithdrawals(
                        IntStream.range(0, 100_000)
                                .mapToObj(i -> new KeyId("key-" + i))
                                .collect(Collectors.toSet())));
        double counted =
                a.meters
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
        private final InstanceId name;
        private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
        private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
        private final PeerTransport transport;
        private final int port;

        Peer(String name, int port) {
            this.name = new InstanceId(name);
            PeerTransportLimits limits =
                    new PeerTransportLimits(
                            64 * 1024,
                            MAX_QUEUED_FRAMES,
                            Duration.ofSeconds(2),
                            Duration.ofSeconds(10),
                            Duration.ofMillis(5),
                            Duration.ofMillis(50));
            this.transport =
                    new PeerTransport(
                            this.name,
                            limits,
                            (sender, message) -> received.add(message),
                            meters,
                            new SplittableRandom(3));
            this.port = transport.listen(LOOPBACK, port);
        }

        /** Sends until a message arrives; the timeout of the class fails the test if none does. */
        void sendUntilReceivedBy(Peer other) throws InterruptedException {
            boolean arrived = false;
            while (!arrived) {
                transport.send(other.name, notice(1));
                arrived = other.received.poll(10, TimeUnit.MILLISECONDS) != null;
            }
        }

        void knows(Peer other) {
            transport.updateAddresses(
                    Map.of(other.name, new InetSocketAddress(LOOPBACK, other.port)));
        }

        @Override
        public void close() {
            transport.close();
        }
    }
}
