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
    private final PeerTransport transport;
    private final @Nullable InstanceId dialed;
    private @Nullable PeerLink link;

    /**
     * Creates a handler.
     *
     * @param dialed the instance that was dialed, null for an accepted connection
     */
    PeerConnectionHandler(PeerTransport transport, @Nullable InstanceId dialed) {
        this.transport = transport;
        this.dialed = dialed;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Unpooled.wrappedBuffer(transport.hello()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf content) {
        byte[] frame = ByteBufUtil.getBytes(content);
        PeerLink current = link;
        if (current == null) {
            link = transport.handleHello(context.channel(), frame, dialed);
            if (link == null) {
                context.close();
            }
        } else {
            transport.handleFrame(current, frame);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        PeerLink current = link;
        if (current != null && context.channel().isWritable()) {
            current.flush();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        PeerLink current = link;
        boolean silent = current == null || current.isAwaitingAnswer();
        if (event instanceof IdleStateEvent && silent) {
            transport.count("silent");
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        transport.handleDisconnect(context.channel(), link, dialed);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        transport.count("connection-failed");
        context.close();
    }
}
