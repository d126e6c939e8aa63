package org.fuchsialever.node.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.fuchsialever.decisions.callers.ClosingReason;
import org.fuchsialever.decisions.callers.ConnectionStage;
import org.fuchsialever.decisions.callers.HeadCost;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the requests of a connection one at a time. A head is parsed once it is whole and has
 * room; until then, and until the response to the request before was taken, its bytes wait.
 */
final class EntryDecoder extends HttpRequestDecoder {
    /** More empty lines before a request are no request. */
    private static final int MAX_BLANK_BYTES = 64;

    /** Callers may end a body with an empty line that its length does not count. */
    private static final int STRAY_BYTES = 2;

    private static final byte LINE_END = '\n';

    private final CallerGuard.Guarded mGuarded;
    private Phase mPhase = Phase.HEAD;
    private @Nullable ChannelHandlerContext mContext;
    private boolean mRequestOpen;
    private boolean mResponseOpen;
    private boolean mResponseWritten;
    private boolean mHeadRequest;
    private boolean mRefused;
    private boolean mReadDeferred;
    private int mBlankBytes;
    private int mScannedBytes;
    private int mLineBegin;
    private int mLines;

    EntryDecoder(CallerGuard.Guarded guarded, int maxHeadBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(maxHeadBytes)
                        .setTrailersFactory(SparseHeaders.NO_FIELDS));
        mGuarded = guarded;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        mPhase = Phase.CLOSED;
        mGuarded.release();
        super.handlerRemoved0(context);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        switch (mPhase) {
            case HEAD -> {
                if (isWhole(in)) {
                    mRefused = !mGuarded.admit(HeadCost.of(mLines, mScannedBytes));
                    begin();
                    parse(context, in, out);
                }
            }
            case REQUEST -> parse(context, in, out);
            case RESPONSE -> {
                // The next request waits until this response was taken.
            }
            case CLOSED -> in.skipBytes(in.readableBytes());
        }
    }

    private void parse(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        int first = out.size();
        super.decode(context, in, out);
        for (Object message : out.subList(first, out.size())) {
            if (message instanceof HttpRequest request) {
                mHeadRequest = request.method().equals(HttpMethod.HEAD);
            }
            if (message instanceof LastHttpContent) {
                mRequestOpen = false;
                mPhase = Phase.RESPONSE;
                endExchange();
            }
        }
    }

    private void begin() {
        mPhase = Phase.REQUEST;
        mRequestOpen = true;
        mResponseOpen = true;
        mResponseWritten = false;
        mBlankBytes = 0;
        mScannedBytes = 0;
        mLineBegin = 0;
        mLines = 0;
        mGuarded.enter(ConnectionStage.CALL);
    }

    /** Returns whether a whole head has arrived; closes the connection if it exceeds a limit. */
    private boolean isWhole(ByteBuf in) {
        skipBlanks(in);
        int begin = in.readerIndex();
        int next = in.indexOf(begin + mScannedBytes, in.writerIndex(), LINE_END);
        while (next >= 0) {
            int lineBytes = next - begin - mLineBegin;
            mScannedBytes = next - begin + 1;
            mLineBegin = mScannedBytes;
            if (lineBytes == 0 || lineBytes == 1 && in.getByte(next - 1) == '\r') {
                return !isTooLarge();
            }
            mLines++;
            next = in.indexOf(begin + mScannedBytes, in.writerIndex(), LINE_END);
        }
        mScannedBytes = in.readableBytes();
        if (mScannedBytes > 0 && !isTooLarge()) {
            mGuarded.awaitHead();
        }
        return false;
    }

    private void skipBlanks(ByteBuf in) {
        if (mScannedBytes > 0) {
            return;
        }
        while (in.isReadable() && isBlank(in.getByte(in.readerIndex()))) {
            in.skipBytes(1);
            mBlankBytes++;
        }
        if (mBlankBytes > MAX_BLANK_BYTES) {
            close(ClosingReason.EMPTY_LINES, in);
        } else if (mBlankBytes > STRAY_BYTES) {
            mGuarded.awaitHead();
        }
    }

    private static boolean isBlank(byte next) {
        return next == '\r' || next == '\n';
    }

    private boolean isTooLarge() {
        boolean tooLarge = mGuarded.isTooLarge(mLines, mScannedBytes);
        if (tooLarge) {
            close(ClosingReason.HEAD_TOO_LARGE, null);
        }
        return tooLarge;
    }

    private void close(ClosingReason reason, @Nullable ByteBuf in) {
        if (in != null) {
            in.skipBytes(in.readableBytes());
        }
        mGuarded.close(reason);
    }

    /** Discards what arrives from now on. */
    void discardInput() {
        mPhase = Phase.CLOSED;
    }

    /** Returns whether the request that is being handled has no room. */
    boolean isRefused() {
        return mRefused;
    }

    boolean isHeadRequest() {
        return mHeadRequest;
    }

    /** Notes that a whole response was written to the connection. */
    void responseWritten() {
        mResponseWritten = true;
        ChannelHandlerContext context = mContext;
        if (context != null) {
            // Most connections take it at once.
            context.executor().execute(this::awaitReader);
        }
    }

    private void awaitReader() {
        if (mResponseWritten && mResponseOpen && mPhase != Phase.CLOSED) {
            mGuarded.enter(ConnectionStage.RESPONSE);
        }
    }

    /** Notes that the connection has taken a whole response. */
    void responseTaken() {
        mResponseOpen = false;
        if (mPhase != Phase.CLOSED) {
            endExchange();
        }
    }

    private void endExchange() {
        if (mRequestOpen || mResponseOpen) {
            return;
        }
        mPhase = Phase.HEAD;
        mGuarded.release();
        mGuarded.enter(ConnectionStage.IDLE);
        ChannelHandlerContext context = mContext;
        if (context != null && (actualReadableBytes() > 0 || mReadDeferred)) {
            context.executor().execute(() -> decodeNext(context));
        }
    }

    private void decodeNext(ChannelHandlerContext context) {
        if (mPhase == Phase.CLOSED) {
            return;
        }
        boolean deferred = mReadDeferred;
        mReadDeferred = false;
        try {
            channelRead(context, Unpooled.EMPTY_BUFFER);
            channelReadComplete(context);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
        if (deferred && !deferRead()) {
            context.read();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        boolean waits = mPhase != Phase.CLOSED && actualReadableBytes() > 0;
        mGuarded.hold(waits ? internalBuffer().capacity() : 0);
        if (deferRead()) {
            context.fireChannelReadComplete();
        } else {
            super.channelReadComplete(context);
        }
    }

    /** Returns whether a read has to wait until the request that was sent ahead is decoded. */
    boolean deferRead() {
        boolean defers = mPhase == Phase.RESPONSE && actualReadableBytes() > 0;
        mReadDeferred |= defers;
        return defers;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        HttpMessage message = super.createMessage(initialLine);
        return mRefused && message instanceof HttpRequest request
                ? new DefaultHttpRequest(
                        request.protocolVersion(),
                        request.method(),
                        request.uri(),
                        new SparseHeaders(SparseHeaders.MAX_FIELDS))
                : message;
    }

    /** What the next bytes of the connection belong to. */
    private enum Phase {
        /** A head that is not whole yet, or nothing. */
        HEAD,
        /** A request that is being parsed. */
        REQUEST,
        /** A later request; the response to this one was not taken yet. */
        RESPONSE,
        /** Nothing that matters any more. */
        CLOSED
    }
}
