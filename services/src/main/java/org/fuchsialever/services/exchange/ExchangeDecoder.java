package org.fuchsialever.services.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

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

    /** The beginning of another response in a part of a head, which is then joined from two. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

    private boolean mBodyOmitted;
    private boolean mInMessage;
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

    /** Returns whether a copy of the response would be read as far as it reaches. */
    boolean framesAlike() {
        return !mBodyOmitted;
    }

    /** Returns whether bytes have arrived that belong to no complete message. */
    boolean hasIncompleteMessage() {
        return mInMessage || actualReadableBytes() > 0;
    }

    /** Returns whether a response was cut off in its head, and the next one follows in it. */
    static boolean isJoined(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> field : response.headers()) {
            if (field.getKey().contains("HTTP/") || containsStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        int before = buffer.readableBytes();
        super.decode(context, buffer, out);
        boolean ended = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
        mInMessage = !ended && (mInMessage || buffer.readableBytes() < before);
    }

    /** Rejects what is no status; Netty takes any number for one. */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!ResponseStatus.isValid(statusLine[1])) {
            throw new IllegalArgumentException("\"" + statusLine[1] + "\" is not a status");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mBodyOmitted || super.isContentAlwaysEmpty(message);
    }
}
