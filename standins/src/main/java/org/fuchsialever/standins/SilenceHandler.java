package org.fuchsialever.standins;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/** Discards all inbound and outbound data of a silenced connection, which stays open. */
final class SilenceHandler extends ChannelDuplexHandler {
    static final String NAME = "stand-in-silence";

    private volatile boolean mSilent;

    void silence() {
        mSilent = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (mSilent) {
            ReferenceCountUtil.release(message);
            return;
        }
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        if (mSilent) {
            ReferenceCountUtil.release(message);
            promise.setSuccess();
            return;
        }
        super.write(context, message, promise);
    }
}
