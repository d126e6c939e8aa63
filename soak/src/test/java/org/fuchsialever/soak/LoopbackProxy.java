package org.fuchsialever.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A TCP link between two processes that can be disturbed. */
final class LoopbackProxy implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";

    private final EventLoopGroup mGroup;
    private final int mTargetPort;
    private final Channel mServer;
    private final Set<Channel> mOpen = ConcurrentHashMap.newKeySet();
    private volatile LinkState mState = LinkState.SOUND;

    LoopbackProxy(EventLoopGroup group, int targetPort) {
        mGroup = group;
        mTargetPort = targetPort;
        mServer =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel caller) {
                                        accept(caller);
                                    }
                                })
                        .bind(LOOPBACK, 0)
                        .syncUninterruptibly()
                        .channel();
    }

    int port() {
        return ((InetSocketAddress) mServer.localAddress()).getPort();
    }

    String address() {
        return LOOPBACK + ":" + port();
    }

    /** Changes how bytes are treated from now on; a state that resets breaks what is open. */
    void behave(LinkState newState) {
        mState = newState;
        if (newState.resets()) {
            mOpen.forEach(LoopbackProxy::reset);
        }
    }

    private void accept(SocketChannel caller) {
        if (mState.resets()) {
            reset(caller);
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(caller.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(LOOPBACK, mTargetPort);
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        reset(caller);
                        return;
                    }
                    Channel target = connecting.channel();
                    join(caller, target, true);
                    join(target, caller, false);
                });
    }

    private void join(Channel from, Channel to, boolean requests) {
        mOpen.add(from);
        from.pipeline().addLast(new Pump(to, requests));
        from.config().setAutoRead(true);
    }

    /** Runs in the event loop of the connection, which may close it at the same time. */
    private static void reset(Channel channel) {
        channel.eventLoop()
                .execute(
                        () -> {
                            if (channel.isOpen()) {
                                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                                channel.close();
                            }
                        });
    }

    @Override
    public void close() {
        mServer.close().syncUninterruptibly();
        mOpen.forEach(LoopbackProxy::reset);
    }

    /** Passes the bytes of one direction on. */
    private final class Pump extends ChannelInboundHandlerAdapter {
        private final Channel mTo;
        private final boolean mRequests;
        private boolean mSilent;
        private long mDueNanos = System.nanoTime();

        Pump(Channel to, boolean requests) {
            mTo = to;
            mRequests = requests;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            LinkState now = mState;
            mSilent |= mRequests ? !now.passesRequests() : !now.passesAnswers();
            if (mSilent) {
                ReferenceCountUtil.release(message);
            } else {
                later(context, now.delayMillis(), () -> mTo.writeAndFlush(message));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mOpen.remove(context.channel());
            if (!mSilent) {
                later(context, 0, mTo::close);
            }
        }

        /** Keeps the order of bytes when a delay ends. */
        private void later(ChannelHandlerContext context, long delayMillis, Runnable step) {
            long now = System.nanoTime();
            mDueNanos = Math.max(mDueNanos, now + TimeUnit.MILLISECONDS.toNanos(delayMillis));
            if (mDueNanos <= now) {
                step.run();
            } else {
                context.executor().schedule(step, mDueNanos - now, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, @Nullable Throwable cause) {
            // The other side resets its connection: this one is reset as well.
            reset(context.channel());
            reset(mTo);
        }
    }
}
