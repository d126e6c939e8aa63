package org.fuchsialever.services.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses with bounded heads and knows whether bytes are left over after a response.
 * Netty's client codec keeps such bytes and would prepend them to the next response.
 */
final class ExchangeDecoder extends HttpResponseDecoder {
    /** As much as a manifest lets a caller send in a head; a head is kept until it is complete. */
    private static final int MAX_HEADER_BYTES = 16 * 1_024;

    private static final int MAX_INITIAL_LINE_BYTES = 4 * 1_024;
    private static final int MAX_CHUNK_BYTES = 16 * 1_024;

    /** As long as the largest response that is not streamed; a late copy of one may be skipped. */
    private static final long MAX_SKIPPED_BYTES = 4L * 1_024 * 1_024;

    private boolean mBodyOmitted;
    private long mReceivedBytes;

    ExchangeDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES)
                        .setValidateHeaders(false));
    }

    /** Prepares for the response to a request with this method. */
    void expectResponseTo(HttpMethod method) {
        mBodyOmitted = method.equals(HttpMethod.HEAD);
        mReceivedBytes = 0;
    }

    /** Returns whether too many bytes have arrived since the request without its response. */
    boolean hasReceivedTooMuchElse() {
        return mReceivedBytes > MAX_SKIPPED_BYTES;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            mReceivedBytes += bytes.readableBytes();
        }
        super.channelRead(context, message);
    }

    /** Returns whether bytes have arrived that belong to no complete message. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mBodyOmitted || super.isContentAlwaysEmpty(message);
    }
}
