package org.fuchsialever.node.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Holds the events of a stream back while the connection to the caller has unwritten bytes above
 * its high-water mark. Reactor Netty bounds the number of events that wait there, not their size.
 */
final class WriteGate extends ChannelInboundHandlerAdapter {
    private final Channel mChannel;
    private @Nullable MonoSink<Void> mWaiting;

    private WriteGate(Channel channel) {
        mChannel = channel;
    }

    /** Returns the events, each when the connection can take it. */
    static Flux<byte[]> throttle(Channel channel, Flux<byte[]> events) {
        return Flux.defer(
                () -> {
                    WriteGate gate = new WriteGate(channel);
                    channel.pipeline().addFirst(gate);
                    return events.concatMap(gate::pass, 1).doFinally(signal -> gate.remove());
                });
    }

    private Mono<byte[]> pass(byte[] event) {
        if (mChannel.isWritable()) {
            return Mono.just(event);
        }
        Mono<Void> writable = Mono.create(sink -> mChannel.eventLoop().execute(() -> await(sink)));
        return writable.thenReturn(event);
    }

    private void await(MonoSink<Void> sink) {
        mWaiting = sink;
        release();
    }

    private void release() {
        MonoSink<Void> waiting = mWaiting;
        if (waiting != null && (mChannel.isWritable() || !mChannel.isActive())) {
            mWaiting = null;
            waiting.success();
        }
    }

    private void remove() {
        mChannel.eventLoop()
                .execute(
                        () -> {
                            if (mChannel.pipeline().context(this) != null) {
                                mChannel.pipeline().remove(this);
                            }
                        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        release();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        release();
        context.fireChannelInactive();
    }
}
