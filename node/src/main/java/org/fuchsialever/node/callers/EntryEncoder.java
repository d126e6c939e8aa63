package org.fuchsialever.node.callers;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/** Encodes responses and tells the decoder when the caller's connection has taken each. */
final class EntryEncoder extends HttpResponseEncoder {
    private final EntryDecoder mDecoder;
    private boolean mInterim;

    EntryEncoder(EntryDecoder decoder) {
        mDecoder = decoder;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        if (message instanceof HttpResponse response) {
            mInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
        if (!(message instanceof LastHttpContent) || mInterim) {
            super.write(context, message, promise);
            return;
        }
        mDecoder.responseWritten();
        super.write(
                context,
                message,
                promise.unvoid().addListener(written -> mDecoder.responseTaken()));
    }

    @Override
    public void read(ChannelHandlerContext context) throws Exception {
        if (mDecoder.deferRead()) {
            return;
        }
        super.read(context);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return mDecoder.isHeadRequest() || super.isContentAlwaysEmpty(response);
    }
}
