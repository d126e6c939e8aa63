package org.fuchsialever.services.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Writes one request. The transport copies what it is given to memory outside the heap, so a large
 * body is handed over in slices, as the connection takes them. Used in the event loop only.
 */
final class RequestWriter {
    private static final int SLICE_BYTES = 32 * 1_024;

    private final Channel mChannel;
    private final byte[] mBody;
    private final ChannelPromise mWritten;
    private final ChannelFutureListener mOnWritten;
    private int mPosition;

    private RequestWriter(Channel channel, byte[] body, Runnable onFailure) {
        mOnWritten =
                written -> {
                    if (!written.isSuccess()) {
                        onFailure.run();
                    }
                };
        mChannel = channel;
        mBody = body;
        mWritten = channel.newPromise();
    }

    /**
     * Writes the head of a request and the first part of its body.
     *
     * @param onFailure called in the event loop if a part cannot be written, perhaps several times
     */
    static RequestWriter start(Channel channel, ExchangeRequest request, Runnable onFailure) {
        RequestWriter writer = new RequestWriter(channel, request.body(), onFailure);
        writer.mWritten.addListener(writer.mOnWritten);
        HttpMethod method = HttpMethod.valueOf(request.method());
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        if (request.body().length <= SLICE_BYTES) {
            writer.mPosition = request.body().length;
            channel.writeAndFlush(
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            method,
                            request.uri(),
                            Unpooled.wrappedBuffer(request.body()),
                            request.headers(),
                            EmptyHttpHeaders.INSTANCE),
                    writer.mWritten);
            return writer;
        }
        HttpRequest head =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1, method, request.uri(), request.headers());
        channel.write(head);
        writer.writeMore();
        return writer;
    }

    /** Writes further slices while the connection takes them. */
    void writeMore() {
        while (mPosition < mBody.length && mChannel.isWritable()) {
            int length = Math.min(SLICE_BYTES, mBody.length - mPosition);
            ByteBuf slice = Unpooled.wrappedBuffer(mBody, mPosition, length);
            mPosition += length;
            if (mPosition < mBody.length) {
                mChannel.writeAndFlush(new DefaultHttpContent(slice)).addListener(mOnWritten);
            } else {
                mChannel.writeAndFlush(new DefaultLastHttpContent(slice), mWritten);
            }
        }
    }

    /** Returns the end of the last write. */
    ChannelFuture written() {
        return mWritten;
    }
}
