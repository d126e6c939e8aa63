package org.fuchsialever.services.exchange;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** A connection that carries one exchange at a time. Used in the event loop only. */
final class ExchangeChannel extends ChannelInboundHandlerAdapter {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");

    /** Idle timeout of a connection whose server sends no idle timeout. */
    private static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** A connection is no longer used this long before the server closes it. */
    private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MIN_FINAL_STATUS = 200;

    private final Channel mChannel;
    private final long mNumber;
    private final ExchangeDecoder mDecoder;
    private final String mAddress;
    private final Consumer<ExchangeChannel> mOnFree;
    private final Consumer<ExchangeChannel> mOnClosed;
    private final IdleBytesListener mOnIdleBytes;
    private final CarriedRequests mCarried = new CarriedRequests();
    private ExchangeClient.@Nullable RunningExchange mExchange;
    private @Nullable RequestWriter mWriter;
    private boolean mSkipping;
    private boolean mKeepAlive = true;
    private boolean mFinished;
    private boolean mFailed;
    private long mIdleNanos = DEFAULT_IDLE_NANOS;
    private long mFreeSince;

    ExchangeChannel(
            Channel channel,
            long number,
            Consumer<ExchangeChannel> onFree,
            Consumer<ExchangeChannel> onClosed,
            IdleBytesListener onIdleBytes) {
        mChannel = channel;
        mNumber = number;
        mDecoder = channel.pipeline().get(ExchangeDecoder.class);
        mOnFree = onFree;
        mOnClosed = onClosed;
        mOnIdleBytes = onIdleBytes;
        java.net.InetSocketAddress remote = (java.net.InetSocketAddress) channel.remoteAddress();
        mAddress = ExchangeClient.address(remote.getAddress().getHostAddress(), remote.getPort());
    }

    String address() {
        return mAddress;
    }

    /** Returns whether a response to a request with the ID cannot be one to an earlier request. */
    boolean mayCarry(String id) {
        return mCarried.mayAdd(id);
    }

    boolean isUsable(long now) {
        return mChannel.isActive()
                && !mFailed
                && !mDecoder.hasIncompleteMessage()
                && now - mFreeSince < mIdleNanos;
    }

    private ConnectionUse use() {
        return new ConnectionUse(mNumber, mCarried.count());
    }

    void close() {
        mFailed = true;
        mChannel.close();
    }

    void start(ExchangeClient.RunningExchange next) {
        mExchange = next;
        mSkipping = false;
        mFinished = false;
        next.attach(this, use());
        ExchangeRequest request = next.request();
        mCarried.add(request.id());
        mDecoder.expectResponseTo(HttpMethod.valueOf(request.method()));
        mWriter = RequestWriter.start(mChannel, request, this::writeFailed);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpObject part) {
                read(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mFinished && !mFailed) {
            mFinished = false;
            mFreeSince = System.nanoTime();
            mOnFree.accept(this);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mWriter != null && mChannel.isWritable()) {
            mWriter.writeMore();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mFailed = true;
        mOnClosed.accept(this);
        end(ExchangeOutcome.LOST);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        end(ExchangeOutcome.LOST);
        close();
    }

    private void read(HttpObject part) {
        boolean joined = part instanceof HttpResponse head && ExchangeDecoder.isJoined(head);
        boolean endlessElse = mSkipping && mDecoder.hasReceivedTooMuchElse();
        if (part.decoderResult().isFailure() || joined || endlessElse) {
            end(ExchangeOutcome.MALFORMED);
            close();
            return;
        }
        ExchangeClient.RunningExchange current = mExchange;
        if (current == null || current.isEnded()) {
            // Unexpected bytes: they could be mistaken for the response to the next request.
            if (!mFailed) {
                mOnIdleBytes.onIdleBytes(mAddress, use());
            }
            mOnClosed.accept(this);
            close();
            return;
        }
        if (part instanceof HttpResponse response) {
            head(current, response);
        }
        if (part instanceof HttpContent content) {
            content(current, content);
        }
    }

    /** Ends the exchange first, because the decoder takes the close for the end of a body. */
    private void writeFailed() {
        end(ExchangeOutcome.LOST);
        close();
    }

    private void head(ExchangeClient.RunningExchange current, HttpResponse response) {
        int status = response.status().code();
        mSkipping = true;
        if (status < MIN_FINAL_STATUS) {
            return;
        }
        ResponseMatch match =
                current.request()
                        .responseMatcher()
                        .apply(new ExchangeRequest.ResponseHead(status, response.headers()));
        current.response(status, match);
        if (!match.isOwn()) {
            return;
        }
        mSkipping = false;
        mCarried.noteResponse(match);
        mKeepAlive = HttpUtil.isKeepAlive(response);
        String limit = response.headers().get("Keep-Alive", "");
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(limit);
        if (matcher.find()) {
            mIdleNanos =
                    TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1))) - IDLE_MARGIN_NANOS;
        }
        current.head(status, response.headers());
    }

    private void content(ExchangeClient.RunningExchange current, HttpContent content) {
        if (!mSkipping && content.content().isReadable()) {
            current.content(ByteBufUtil.getBytes(content.content()));
        }
        if (!(content instanceof LastHttpContent) || mSkipping || current.isEnded()) {
            return;
        }
        mExchange = null;
        RequestWriter request = mWriter;
        boolean reusable =
                mKeepAlive
                        && mCarried.mayContinue()
                        && mDecoder.framesAlike()
                        && request != null
                        && request.written().isDone()
                        && mChannel.isActive();
        if (reusable) {
            mFinished = true;
        } else {
            close();
        }
        current.end(ExchangeOutcome.COMPLETE);
    }

    private void end(ExchangeOutcome outcome) {
        ExchangeClient.RunningExchange current = mExchange;
        mExchange = null;
        if (current != null) {
            current.end(outcome);
        }
    }
}
