package org.fuchsialever.node.callers;

import io.netty.channel.Channel;
import io.netty.channel.CombinedChannelDuplexHandler;
import reactor.netty.NettyPipeline;

/** The codec of a caller's connection, which takes the place of the server's own. */
final class EntryCodec extends CombinedChannelDuplexHandler<EntryDecoder, EntryEncoder> {
    /** Heads of this length are read, and have room in memory, before a manifest is known. */
    static final int LEAST_HEAD_BYTES = 16 * 1_024;

    private final EntryDecoder mDecoder;

    private EntryCodec(EntryDecoder decoder) {
        super(decoder, new EntryEncoder(decoder));
        mDecoder = decoder;
    }

    /** Replaces the codec of a connection, in its event loop. */
    static void install(Channel channel, CallerGuard.Guarded guarded) {
        EntryDecoder decoder = new EntryDecoder(guarded, guarded.maxHeadBytes());
        guarded.setDecoder(decoder);
        channel.pipeline()
                .replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new EntryCodec(decoder));
    }

    /** Returns whether the request that a connection's handler was given has no room. */
    static boolean isRefused(Channel channel) {
        return channel.pipeline().get(NettyPipeline.HttpCodec) instanceof EntryCodec codec
                && codec.mDecoder.isRefused();
    }
}
