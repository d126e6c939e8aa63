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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.log.PartLogger;
import org.jspecify.annotations.Nullable;
import reactor.netty.resources.LoopResources;

/**
 * Sends requests over pooled connections, one at a time on each. Reactor Netty's client hands the
 * next response on a connection to the request that waits there, even if it belongs to an earlier
 * one, so this client uses Netty's codec directly and skips such responses. A connection carries
 * each request ID once, because a response to an earlier request with the ID could not be told
 * apart.
 */
public final class ExchangeClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Closes connections to dead machines; longer than the delays of a slow link. */
    private static final int TCP_USER_TIMEOUT_MILLIS = 3_000;

    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private static final String UNEXPECTED_RESPONSES = "fuchsialever.upstream.unexpected.responses";

    private static final PartLogger LOG = PartLogger.of("exchange");

    private final EventLoop mLoop;
    private final Bootstrap mBootstrap;
    private final Map<String, Deque<ExchangeChannel>> mIdleChannels = new HashMap<>();
    private final MeterRegistry mMeters;
    private volatile IdleBytesListener mIdleBytesListener = (address, use) -> {};
    private long mLastConnection;
    private boolean mClosed;

    /**
     * Creates a client that runs in one event loop.
     *
     * @param loops the event loops of the process, which the caller closes
     */
    public ExchangeClient(LoopResources loops, MeterRegistry meters) {
        EventLoopGroup group = loops.onClient(true);
        mLoop = group.next();
        mMeters = meters;
        mBootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(loops.onChannelClass(SocketChannel.class, group))
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new ExchangeDecoder(),
                                                        new HttpRequestEncoder());
                                    }
                                });
        if (group.getClass().getName().contains("Epoll")
                || loops.onChannelClass(SocketChannel.class, group).getName().contains("Epoll")) {
            mBootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLIS);
        }
    }

    /** Sets what learns of bytes on idle connections. */
    public void setIdleBytesListener(IdleBytesListener listener) {
        mIdleBytesListener = listener;
    }

    /** Returns the event loop in which listeners are called. */
    public EventLoop loop() {
        return mLoop;
    }

    /** Sends a request; the listener is called in the event loop. */
    public Exchange send(ExchangeRequest request, ExchangeListener listener) {
        RunningExchange exchange = new RunningExchange(request, listener);
        mLoop.execute(() -> guarded(exchange, () -> begin(exchange)));
        return () -> mLoop.execute(exchange::cancel);
    }

    @Override
    public void close() {
        mLoop.execute(
                () -> {
                    mClosed = true;
                    mIdleChannels.values().forEach(list -> list.forEach(ExchangeChannel::close));
                    mIdleChannels.clear();
                });
    }

    private void begin(RunningExchange exchange) {
        if (exchange.isEnded() || exchange.isWithdrawn()) {
            return;
        }
        ExchangeRequest request = exchange.request();
        ExchangeChannel channel = takeIdle(request);
        if (channel != null) {
            channel.start(exchange);
            return;
        }
        mMeters.counter("fuchsialever.upstream.connections").increment();
        mBootstrap
                .connect(request.host(), request.port())
                .addListener(
                        (io.netty.channel.ChannelFuture connected) -> {
                            if (!connected.isSuccess()) {
                                exchange.end(ExchangeOutcome.NOT_CONNECTED);
                                return;
                            }
                            guarded(exchange, () -> connected(exchange, connected.channel()));
                        });
    }

    private void connected(RunningExchange exchange, Channel channel) {
        mLastConnection++;
        ExchangeChannel opened =
                new ExchangeChannel(
                        channel,
                        mLastConnection,
                        this::addIdle,
                        this::removeIdle,
                        this::countIdleBytes);
        channel.pipeline().addLast(opened);
        if (exchange.isEnded() || exchange.isWithdrawn()) {
            opened.close();
        } else {
            opened.start(exchange);
        }
    }

    /** Ends an exchange whose request cannot be sent, for example to an impossible address. */
    private void guarded(RunningExchange exchange, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.warning("Request to " + exchange.address() + " cannot be sent.", e);
            exchange.abort(ExchangeOutcome.NOT_CONNECTED);
        }
    }

    /** Takes the channel that became idle last, as it is the least likely to be closed soon. */
    private @Nullable ExchangeChannel takeIdle(ExchangeRequest request) {
        Deque<ExchangeChannel> list = mIdleChannels.get(address(request.host(), request.port()));
        // Responses to HEAD end with their head, whatever they say, and those to others do not.
        if (list == null || request.method().equals(HttpMethod.HEAD.name())) {
            return null;
        }
        Iterator<ExchangeChannel> newestFirst = list.descendingIterator();
        while (newestFirst.hasNext()) {
            ExchangeChannel channel = newestFirst.next();
            if (!channel.isUsable(System.nanoTime())) {
                newestFirst.remove();
                channel.close();
            } else if (channel.mayCarry(request.id())) {
                newestFirst.remove();
                return channel;
            }
        }
        return null;
    }

    private void addIdle(ExchangeChannel channel) {
        Deque<ExchangeChannel> list =
                mIdleChannels.computeIfAbsent(channel.address(), address -> new ArrayDeque<>());
        if (mClosed || list.size() >= MAX_IDLE_PER_ADDRESS) {
            channel.close();
        } else {
            list.addLast(channel);
        }
    }

    private void removeIdle(ExchangeChannel channel) {
        Deque<ExchangeChannel> list = mIdleChannels.get(channel.address());
        if (list != null && list.remove(channel) && list.isEmpty()) {
            mIdleChannels.remove(channel.address());
        }
    }

    private void countIdleBytes(String address, ConnectionUse use) {
        mMeters.counter(UNEXPECTED_RESPONSES, "while", "idle").increment();
        mIdleBytesListener.onIdleBytes(address, use);
    }

    static String address(String host, int port) {
        return host + ":" + port;
    }

    /** One request and the state of its response. Used in the event loop only. */
    final class RunningExchange {
        private final ExchangeRequest mRequest;
        private final ExchangeListener mListener;
        private @Nullable ExchangeChannel mChannel;
        private io.netty.util.concurrent.@Nullable Future<?> mTimer;
        private boolean mEnded;

        RunningExchange(ExchangeRequest request, ExchangeListener listener) {
            mRequest = request;
            mListener = listener;
        }

        ExchangeRequest request() {
            return mRequest;
        }

        boolean isEnded() {
            return mEnded;
        }

        /** Ends the exchange if its request may not be sent any more; returns whether it did. */
        private boolean isWithdrawn() {
            if (mListener.maySend()) {
                return false;
            }
            end(ExchangeOutcome.WITHDRAWN);
            return true;
        }

        String address() {
            return ExchangeClient.address(mRequest.host(), mRequest.port());
        }

        void attach(ExchangeChannel usedChannel, ConnectionUse use) {
            mChannel = usedChannel;
            mListener.onConnection(use);
            startTimer(mRequest.firstByteTimeout().toNanos());
        }

        void response(int status, ResponseMatch match) {
            if (!match.isOwn()) {
                mMeters.counter(UNEXPECTED_RESPONSES, "while", "waiting").increment();
            }
            mListener.onResponse(status, match);
        }

        void head(int status, io.netty.handler.codec.http.HttpHeaders headers) {
            startTimer(mRequest.idleTimeout().toNanos());
            mListener.onHead(status, headers);
        }

        void content(byte[] bytes) {
            ContentVerdict verdict = mListener.onContent(bytes);
            if (verdict.endsExchange()) {
                abort(ExchangeOutcome.MALFORMED);
            } else if (verdict.restartsIdleTimeout() && !mEnded) {
                startTimer(mRequest.idleTimeout().toNanos());
            }
        }

        void end(ExchangeOutcome outcome) {
            if (!mEnded) {
                mEnded = true;
                stopTimer();
                mListener.onEnd(outcome);
            }
        }

        void cancel() {
            abort(ExchangeOutcome.CANCELLED);
        }

        private void abort(ExchangeOutcome outcome) {
            if (mEnded) {
                return;
            }
            end(outcome);
            if (mChannel != null) {
                mChannel.close();
            }
        }

        private void startTimer(long nanos) {
            stopTimer();
            mTimer =
                    mLoop.schedule(
                            () -> abort(ExchangeOutcome.SILENT), nanos, TimeUnit.NANOSECONDS);
        }

        private void stopTimer() {
            if (mTimer != null) {
                mTimer.cancel(false);
                mTimer = null;
            }
        }
    }
}
