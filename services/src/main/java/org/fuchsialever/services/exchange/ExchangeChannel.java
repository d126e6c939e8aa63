package org.fuchsialever.services.exchange;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
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

    private final Channel channel;
    private final String address;
    private final Consumer<ExchangeChannel> onFree;
    private final Consumer<ExchangeChannel> onClosed;
    private ExchangeClient.@Nullable RunningExchange exchange;
    private @Nullable ChannelFuture written;
    private boolean skipping;
    private boolean keepAlive = true;
    private boolean finished;
    private boolean failed;
    private long idleNanos = DEFAULT_IDLE_NANOS;
    private long freeSince;

    ExchangeChannel(
            Channel channel, Consumer<ExchangeChannel> onFree, Consumer<ExchangeChannel> onClosed) {
        this.channel = channel;
        this.onFree = onFree;
        this.onClosed = onClosed;
        java.net.InetSocketAddress remote = (java.net.InetSocketAddress) channel.remoteAddress();
        this.address =
                ExchangeClient.address(remote.getAddress().getHostAddress(), remote.getPort());
    }

    String address() {
        return address;
    }

    boolean isUsable(long now) {
        return channel.isActive() && !failed && now - freeSince < idleNanos;
    }

    void close() {
        failed = true;
        channel.close();
    }

    void start(ExchangeClient.RunningExchange next) {
        exchange = next;
        skipping = false;
        finished = false;
        next.attach(this);
        ExchangeRequest request = next.request();
        DefaultFullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.uri(),
                        Unpooled.wrappedBuffer(request.body()),
                        request.headers(),
                        EmptyHttpHeaders.INSTANCE);
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        written = channel.writeAndFlush(message);
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
        if (finished && !failed) {
            finished = false;
            freeSince = System.nanoTime();
            onFree.accept(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failed = true;
        onClosed.accept(this);
        end(ExchangeOutcome.LOST);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        end(ExchangeOutcome.LOST);
        close();
    }

    private void read(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            end(ExchangeOutcome.MALFORMED);
            close();
            return;
        }
        ExchangeClient.RunningExchange current = exchange;
        if (current == null || current.isEnded()) {
            // Unexpected bytes: they could be mistaken for the response to the next request.
            onClosed.accept(this);
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

    private void head(ExchangeClient.RunningExchange current, HttpResponse response) {
        int status = response.status().code();
        skipping =
                status < MIN_FINAL_STATUS
                        || !current.request()
                                .responseMatcher()
                                .test(new ExchangeRequest.ResponseHead(status, response.headers()));
        if (skipping) {
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(response);
        String limit = response.headers().get("Keep-Alive", "");
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(limit);
        if (matcher.find()) {
            idleNanos =
                    TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1))) - IDLE_MARGIN_NANOS;
        }
        current.head(status, response.headers());
    }

    private void content(ExchangeClient.RunningExchange current, HttpContent content) {
        if (!skipping && content.content().isReadable()) {
            current.content(ByteBufUtil.getBytes(content.content()));
        }
        if (!(content instanceof LastHttpContent) || skipping) {
            return;
        }
        exchange = null;
        ChannelFuture request = written;
        boolean reusable = keepAlive && request != null && request.isDone() && channel.isActive();
        if (reusable) {
            finished = true;
        } else {
            close();
        }
        current.end(ExchangeOutcome.COMPLETE);
    }

    private void end(ExchangeOutcome outcome) {
        ExchangeClient.RunningExchange current = exchange;
        exchange = null;
        if (current != null) {
            current.end(outcome);
        }
    }
}
