package org.fuchsialever.wire;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Sends messages between instances over TCP, with one connection for each pair of instances that is
 * opened when there is something to send. A slow or unresponsive peer fills only its own bounded
 * queue. One event loop serves all connections and owns their state.
 */
public final class PeerTransport implements AutoCloseable {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_DOUBLINGS = 16;
    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 0;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final InstanceId mSelf;
    private final PeerTransportLimits mLimits;
    private final Receiver mReceiver;
    private final MeterRegistry mMeters;
    private final RandomGenerator mRandom;
    private final EventLoopGroup mGroup;
    private final EventLoop mLoop;
    private final byte[] mHello;
    private final Map<InstanceId, PeerLink> mLinks = new ConcurrentHashMap<>();

    /**
     * Creates a transport that neither listens nor connects yet.
     *
     * @param self the name of this instance
     * @param receiver handles received messages on the event loop; must not block
     * @param random source of the jitter of reconnection delays
     */
    public PeerTransport(
            InstanceId self,
            PeerTransportLimits limits,
            Receiver receiver,
            MeterRegistry meters,
            RandomGenerator random) {
        mSelf = self;
        mLimits = limits;
        mReceiver = receiver;
        mMeters = meters;
        mRandom = random;
        mHello = PeerCodec.encodeHello(self);
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        1,
                        new DefaultThreadFactory("peer-transport", true),
                        NioIoHandler.newFactory());
        mLoop = mGroup.next();
        FunctionCounter.builder("fuchsialever.peers.overflows", this, PeerTransport::overflowCount)
                .register(meters);
    }

    /**
     * Starts listening.
     *
     * @param address the IP address to listen on
     * @param port the TCP port, or 0 for any free port
     * @return the port in use
     */
    public int listen(String address, int port) {
        Channel server =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer(null))
                        .bind(address, port)
                        .syncUninterruptibly()
                        .channel();
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Replaces the known addresses. Unconnected links to other instances are removed. */
    public void updateAddresses(Map<InstanceId, InetSocketAddress> addresses) {
        Map<InstanceId, InetSocketAddress> copy = Map.copyOf(addresses);
        mLoop.execute(
                () -> {
                    copy.forEach((peer, address) -> link(peer).address(address));
                    mLinks.values().removeIf(link -> releaseIfUnlisted(link, copy));
                    mLinks.values().forEach(this::dial);
                });
    }

    /**
     * Queues a message for a peer. Messages stay queued until the address of the peer is known and
     * the peer is reachable; when the queue is full, the oldest one is dropped and counted.
     */
    public void send(InstanceId peer, PeerMessage message) {
        byte[] frame = PeerCodec.encode(message);
        if (frame.length > mLimits.maxFrameBytes()) {
            count("too-large");
            return;
        }
        PeerLink link = link(peer);
        if (link.enqueue(frame)) {
            mLoop.execute(
                    () -> {
                        link.flush();
                        dial(link);
                    });
        }
    }

    /** Returns the number of frames that were dropped because a queue was full. */
    public long overflowCount() {
        return mLinks.values().stream().mapToLong(PeerLink::droppedCount).sum();
    }

    /** Closes all connections and waits until the event loop has stopped, at most 2 s. */
    @Override
    public void close() {
        mGroup.shutdownGracefully(
                        SHUTDOWN_QUIET_PERIOD_MILLIS,
                        SHUTDOWN_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }

    byte[] hello() {
        return mHello;
    }

    void count(String reason) {
        Counter.builder("fuchsialever.peers.failures")
                .tag("reason", reason)
                .register(mMeters)
                .increment();
    }

    /** Handles the first frame of a connection; returns null if the connection must be closed. */
    @Nullable PeerLink handleHello(Channel channel, byte[] frame, @Nullable InstanceId dialed) {
        InstanceId name = PeerCodec.decodeHello(frame).peekLeft(this::count).getOrNull();
        if (name == null) {
            return null;
        }
        if (name.equals(mSelf) || dialed != null && !dialed.equals(name)) {
            count("wrong-instance");
            return null;
        }
        PeerLink link = link(name);
        if (!link.attach(channel, dialed == null ? name : mSelf, mSelf)) {
            return null;
        }
        link.flush();
        return link;
    }

    void handleFrame(PeerLink link, byte[] frame) {
        link.frameReceived();
        PeerCodec.decode(frame)
                .peekLeft(this::count)
                .peek(message -> mReceiver.onMessage(link.peer(), message));
    }

    void handleDisconnect(Channel channel, @Nullable PeerLink link, @Nullable InstanceId dialed) {
        if (link != null && link.detach(channel)) {
            dial(link);
        } else if (link == null && dialed != null) {
            scheduleRetry(link(dialed));
        }
    }

    private PeerLink link(InstanceId peer) {
        return mLinks.computeIfAbsent(peer, name -> new PeerLink(name, mLimits.maxQueuedFrames()));
    }

    /**
     * Clears the address of a peer that is not listed any more.
     *
     * @return whether the link can be removed; a connected link stays, because a peer may connect
     *     before its address is listed
     */
    private static boolean releaseIfUnlisted(
            PeerLink link, Map<InstanceId, InetSocketAddress> addresses) {
        if (addresses.containsKey(link.peer())) {
            return false;
        }
        link.clearAddress();
        return !link.isConnected();
    }

    private void dial(PeerLink link) {
        InetSocketAddress address = link.startDialing();
        if (address == null || mLoop.isShuttingDown()) {
            return;
        }
        new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) mLimits.connectTimeout().toMillis())
                .handler(initializer(link.peer()))
                .connect(address)
                .addListener(
                        result -> {
                            if (!result.isSuccess()) {
                                count("connect-failed");
                                scheduleRetry(link);
                            }
                        });
    }

    private void scheduleRetry(PeerLink link) {
        int doublings = Math.min(link.dialFailed() - 1, MAX_DOUBLINGS);
        long delay =
                Math.min(
                        mLimits.maxRetryDelay().toMillis(),
                        mLimits.initialRetryDelay().toMillis() << doublings);
        if (!mLoop.isShuttingDown()) {
            mLoop.schedule(
                    () -> {
                        link.endRetryDelay();
                        dial(link);
                    },
                    delay / 2 + mRandom.nextLong(delay / 2 + 1),
                    TimeUnit.MILLISECONDS);
        }
    }

    private ChannelInitializer<SocketChannel> initializer(@Nullable InstanceId dialed) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(
                                new IdleStateHandler(
                                        mLimits.responseTimeout().toMillis(),
                                        0,
                                        0,
                                        TimeUnit.MILLISECONDS),
                                new LengthFieldBasedFrameDecoder(
                                        mLimits.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                                new LengthFieldPrepender(LENGTH_BYTES),
                                new PeerConnectionHandler(PeerTransport.this, dialed));
            }
        };
    }

    /** Handles received messages. */
    @FunctionalInterface
    public interface Receiver {

        /** Handles a message from a peer; must not block. */
        void onMessage(InstanceId sender, PeerMessage message);
    }
}
