package org.fuchsialever.services.exchange;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses with bounded heads and knows whether bytes are left over after a response.
 * Netty's client codec keeps such bytes and would prepend them to the next response.
 */
final class ExchangeDecoder extends HttpResponseDecoder {
    private static final int MAX_INITIAL_LINE_BYTES = 8 * 1_024;
    private static final int MAX_HEADER_BYTES = 64 * 1_024;
    private static final int MAX_CHUNK_BYTES = 16 * 1_024;

    private boolean mBodyOmitted;

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
