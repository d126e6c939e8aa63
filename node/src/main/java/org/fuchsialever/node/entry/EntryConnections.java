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
    private static final AttributeKey<Integer> REQUESTS = AttributeKey.valueOf("entry-requests");

    private final ChannelGroup mOpen = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean mClosing;

    /** Adds a connection, in its event loop. */
    void add(Channel channel) {
        mOpen.add(channel);
        if (mClosing) {
            closeIfIdle(channel);
        }
    }

    /** Notes that a request waits for its response, in the event loop. */
    void begin(Channel channel) {
        channel.attr(REQUESTS).set(requests(channel) + 1);
    }

    /** Notes that the response of a request was handed to the event loop, on any thread. */
    void end(Channel channel) {
        // Behind the bytes of the response, which may still be in the queue of the event loop.
        if (channel.eventLoop().inEventLoop()) {
            endInLoop(channel);
        } else {
            channel.eventLoop().execute(() -> endInLoop(channel));
        }
    }

    private void endInLoop(Channel channel) {
        channel.attr(REQUESTS).set(requests(channel) - 1);
        if (mClosing) {
            closeIfIdle(channel);
        }
    }

    private static int requests(Channel channel) {
        Integer noted = channel.attr(REQUESTS).get();
        return noted == null ? 0 : noted;
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
        if (first == null || requests(channel) > 0) {
            return;
        }
        // Closed behind the bytes that a slow caller has not taken yet.
        first.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
}
