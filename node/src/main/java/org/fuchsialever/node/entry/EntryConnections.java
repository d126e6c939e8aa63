package org.fuchsialever.node.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;

/** The open connections of callers. */
final class EntryConnections {
    private static final AttributeKey<Boolean> BUSY = AttributeKey.valueOf("entry-busy");

    private final ChannelGroup mOpen = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean mClosing;

    /** Adds a connection, in its event loop. */
    void add(Channel channel) {
        mOpen.add(channel);
        if (mClosing) {
            closeIfIdle(channel);
        }
    }

    /** Notes whether a request waits for its response, in the event loop. */
    void setBusy(Channel channel, boolean busy) {
        channel.attr(BUSY).set(busy);
        if (!busy && mClosing) {
            closeIfIdle(channel);
        }
    }

    /** Returns the number of open connections. */
    int count() {
        return mOpen.size();
    }

    /** Closes connections without a request, and from now on each that has none any more. */
    void closeIdle() {
        mClosing = true;
        // In the event loop, where a request is either handled already or remains unread.
        mOpen.forEach(channel -> channel.eventLoop().execute(() -> closeIfIdle(channel)));
    }

    private static void closeIfIdle(Channel channel) {
        ChannelHandlerContext first = channel.pipeline().firstContext();
        if (first == null || Boolean.TRUE.equals(channel.attr(BUSY).get())) {
            return;
        }
        // Closed behind the bytes that a slow caller has not taken yet.
        first.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
}
