package org.fuchsialever.services.exchange;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import reactor.netty.resources.LoopResources;

/**
 * Sends requests over pooled connections, one at a time on each. Reactor Netty's client hands the
 * next response on a connection to the request that waits there, even if it belongs to an earlier
 * one, so this client uses Netty's codec directly and skips such responses.
 */
public final class ExchangeClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Closes connections to dead machines; longer than the delays of a slow link. */
    private static final int TCP_USER_TIMEOUT_MILLIS = 3_000;

    private static final int MAX_INITIAL_LINE_BYTES = 8 * 1_024;
    private static final int MAX_HEADER_BYTES = 64 * 1_024;
    private static final int MAX_CHUNK_BYTES = 16 * 1_024;
    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<String, Deque<ExchangeChannel>> idleChannels = new HashMap<>();
    private final MeterRegistry meters;
    private boolean closed;

    /**
     * Creates a client that runs in one event loop.
     *
     * @param loops the event loops of the process, which the caller closes
     */
    public ExchangeClient(LoopResources loops, MeterRegistry meters) {
        EventLoopGroup group = loops.onClient(true);
        this.loop = group.next();
        this.meters = meters;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(loops.onChannelClass(SocketChannel.class, group))
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(codec());
                                    }
                                });
        if (group.getClass().getName().contains("Epoll")
                || loops.onChannelClass(SocketChannel.class, group).getName().contains("Epoll")) {
            bootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLIS);
        }
    }

    /** Returns the event loop in which listeners are called. */
    public EventLoop loop() {
        return loop;
    }

    /** Sends a request; the listener is called in the event loop. */
    public Exchange send(ExchangeRequest request, ExchangeListener listener) {
        RunningExchange exchange = new RunningExchange(request, listener);
        loop.execute(() -> begin(exchange));
        return () -> loop.execute(exchange::cancel);
    }

    @Override
    public void close() {
        loop.execute(
                () -> {
                    closed = true;
                    idleChannels.values().forEach(list -> list.forEach(ExchangeChannel::close));
                    idleChannels.clear();
                });
    }

    private void begin(RunningExchange exchange) {
        if (exchange.isEnded()) {
            return;
        }
        ExchangeRequest request = exchange.request();
        ExchangeChannel channel = takeIdle(request);
        if (channel != null) {
            channel.start(exchange);
            return;
        }
        meters.counter("fuchsialever.upstream.connections").increment();
        bootstrap
                .connect(request.host(), request.port())
                .addListener(
                        (io.netty.channel.ChannelFuture connected) -> {
                            if (!connected.isSuccess()) {
                                exchange.end(ExchangeOutcome.NOT_CONNECTED);
                                return;
                            }
                            ExchangeChannel opened =
                                    new ExchangeChannel(
                                            connected.channel(), this::addIdle, this::removeIdle);
                            connected.channel().pipeline().addLast(opened);
                            if (exchange.isEnded()) {
                                opened.close();
                            } else {
                                opened.start(exchange);
                            }
                        });
    }

    private @Nullable ExchangeChannel takeIdle(ExchangeRequest request) {
        Deque<ExchangeChannel> list = idleChannels.get(address(request.host(), request.port()));
        if (list == null) {
            return null;
        }
        ExchangeChannel channel = list.pollLast();
        while (channel != null && !channel.isUsable(System.nanoTime())) {
            channel.close();
            channel = list.pollLast();
        }
        return channel;
    }

    private void addIdle(ExchangeChannel channel) {
        Deque<ExchangeChannel> list =
                idleChannels.computeIfAbsent(channel.address(), address -> new ArrayDeque<>());
        if (closed || list.size() >= MAX_IDLE_PER_ADDRESS) {
            channel.close();
        } else {
            list.addLast(channel);
        }
    }

    private void removeIdle(ExchangeChannel channel) {
        Deque<ExchangeChannel> list = idleChannels.get(channel.address());
        if (list != null && list.remove(channel) && list.isEmpty()) {
            idleChannels.remove(channel.address());
        }
    }

    static String address(String host, int port) {
        return host + ":" + port;
    }

    private static HttpClientCodec codec() {
        return new HttpClientCodec(
                MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, false, false);
    }

    /** One request and the state of its response. Used in the event loop only. */
    final class RunningExchange {
        private final ExchangeRequest request;
        private final ExchangeListener listener;
        private @Nullable ExchangeChannel channel;
        private io.netty.util.concurrent.@Nullable Future<?> timer;
        private boolean ended;

        RunningExchange(ExchangeRequest request, ExchangeListener listener) {
            this.request = request;
            this.listener = listener;
        }

        ExchangeRequest request() {
            return request;
        }

        boolean isEnded() {
            return ended;
        }

        void attach(ExchangeChannel usedChannel) {
            channel = usedChannel;
            startTimer(request.firstByteTimeout().toNanos());
        }

        void head(int status, io.netty.handler.codec.http.HttpHeaders headers) {
            startTimer(request.idleTimeout().toNanos());
            listener.onHead(status, headers);
        }

        void content(byte[] bytes) {
            startTimer(request.idleTimeout().toNanos());
            listener.onContent(bytes);
        }

        void end(ExchangeOutcome outcome) {
            if (!ended) {
                ended = true;
                stopTimer();
                listener.onEnd(outcome);
            }
        }

        void cancel() {
            abort(ExchangeOutcome.CANCELLED);
        }

        private void abort(ExchangeOutcome outcome) {
            if (ended) {
                return;
            }
            end(outcome);
            if (channel != null) {
                channel.close();
            }
        }

        private void startTimer(long nanos) {
            stopTimer();
            timer = loop.schedule(() -> abort(ExchangeOutcome.SILENT), nanos, TimeUnit.NANOSECONDS);
        }

        private void stopTimer() {
            if (timer != null) {
                timer.cancel(false);
                timer = null;
            }
        }
    }
}
