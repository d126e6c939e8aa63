package org.fuchsialever.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.fuchsialever.decisions.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** Handler of a connection: first exchanges instance names, then passes frames to the transport. */
final class PeerConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final PeerTransport mTransport;
    private final @Nullable InstanceId mDialed;
    private @Nullable PeerLink mLink;

    /**
     * Creates a handler.
     *
     * @param dialed the instance that was dialed, null for an accepted connection
     */
    PeerConnectionHandler(PeerTransport transport, @Nullable InstanceId dialed) {
        mTransport = transport;
        mDialed = dialed;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Unpooled.wrappedBuffer(mTransport.hello()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf content) {
        byte[] frame = ByteBufUtil.getBytes(content);
        PeerLink current = mLink;
        if (current == null) {
            mLink = mTransport.handleHello(context.channel(), frame, mDialed);
            if (mLink == null) {
                context.close();
            }
        } else {
            mTransport.handleFrame(current, frame);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        PeerLink current = mLink;
        if (current != null && context.channel().isWritable()) {
            current.flush();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        PeerLink current = mLink;
        boolean silent = current == null || current.isAwaitingAnswer();
        if (event instanceof IdleStateEvent && silent) {
            mTransport.count("silent");
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mTransport.handleDisconnect(context.channel(), mLink, mDialed);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mTransport.count("connection-failed");
        context.close();
    }
}
