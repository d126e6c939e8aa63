package org.fuchsialever.node.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EntryConnectionsTest {
    private static final String ANSWER = "answer";
    private static final long PATIENCE_SECONDS = 30;

    private final EntryConnections mConnections = new EntryConnections();
    private final EventLoopGroup mLoop =
            new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    private final EventLoopGroup mCallerLoop =
            new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    private final CompletableFuture<Channel> mAccepted = new CompletableFuture<>();
    private final CompletableFuture<String> mReceived = new CompletableFuture<>();

    @BeforeEach
    void connect() {
        LocalAddress address = new LocalAddress(EntryConnectionsTest.class);
        new ServerBootstrap()
                .group(mLoop)
                .channel(LocalServerChannel.class)
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(new ChannelInboundHandlerAdapter());
                                mConnections.add(channel);
                                mAccepted.complete(channel);
                            }
                        })
                .bind(address)
                .syncUninterruptibly();
        new Bootstrap()
                .group(mCallerLoop)
                .channel(LocalChannel.class)
                .handler(new Receiver(mReceived))
                .connect(address)
                .syncUninterruptibly();
    }

    @AfterEach
    void close() {
        mLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mCallerLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against an answer that is lost because its connection is closed before it. */
    @Test
    void closesAConnectionBehindAnAnswerThatIsStillQueued() throws Exception {
        Channel channel = mAccepted.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        inLoop(channel, () -> mConnections.begin(channel));
        CountDownLatch busyLoop = new CountDownLatch(1);
        channel.eventLoop().execute(() -> await(busyLoop));
        mConnections.closeIdle();
        channel.writeAndFlush(Unpooled.copiedBuffer(ANSWER, StandardCharsets.US_ASCII));
        mConnections.end(channel);
        busyLoop.countDown();
        assertThat(mReceived.get(PATIENCE_SECONDS, TimeUnit.SECONDS), is(ANSWER));
    }

    /** Guards against a request that is cut because the one before it ended late. */
    @Test
    void keepsAConnectionWhoseNextRequestHasBegun() throws Exception {
        Channel channel = mAccepted.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        inLoop(channel, () -> mConnections.begin(channel));
        inLoop(channel, () -> mConnections.begin(channel));
        mConnections.end(channel);
        mConnections.closeIdle();
        inLoop(channel, () -> {});
        assertThat(channel.isActive(), is(true));
        channel.writeAndFlush(Unpooled.copiedBuffer(ANSWER, StandardCharsets.US_ASCII));
        mConnections.end(channel);
        assertThat(mReceived.get(PATIENCE_SECONDS, TimeUnit.SECONDS), is(ANSWER));
    }

    @Test
    void closesAConnectionWithoutARequest() throws Exception {
        mAccepted.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        mConnections.closeIdle();
        assertThat(mReceived.get(PATIENCE_SECONDS, TimeUnit.SECONDS), is(""));
    }

    private static void inLoop(Channel channel, Runnable task) {
        channel.eventLoop().submit(task).syncUninterruptibly();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Completes with all bytes that were received when the connection ends. */
    private static final class Receiver extends ChannelInboundHandlerAdapter {
        private final CompletableFuture<String> mAll;
        private final StringBuilder mBytes = new StringBuilder();

        Receiver(CompletableFuture<String> all) {
            mAll = all;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mBytes.append(((ByteBuf) message).toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mAll.complete(mBytes.toString());
        }
    }
}
