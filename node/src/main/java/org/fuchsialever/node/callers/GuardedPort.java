package org.fuchsialever.node.callers;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.function.Consumer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;

/** HTTP servers whose connections are bounded by the guard of the instance. */
public final class GuardedPort {
    private static final int MIN_RECEIVE_BYTES = 2_048;

    /** A connection whose body waits for room holds one such part of it, outside the heap. */
    private static final int MAX_RECEIVE_BYTES = 16 * 1_024;

    /** Longer than the time for which callers reuse an idle connection. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private GuardedPort() {}

    /**
     * Bounds the connections of a server that is not bound to its port yet.
     *
     * @param onOpen handles a new connection, in its event loop
     */
    public static HttpServer guarded(
            HttpServer server, CallerGuard guard, Consumer<Channel> onOpen) {
        return server.idleTimeout(IDLE_TIMEOUT)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                MIN_RECEIVE_BYTES, MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES))
                .doOnChannelInit(
                        (observer, channel, address) -> {
                            onOpen.accept(channel);
                            EntryCodec.install(channel, guard.open(channel));
                        });
    }

    /** Returns the connection of a request, which the request forgets when its response ends. */
    public static Channel connection(HttpServerRequest request) {
        Channel[] found = new Channel[1];
        request.withConnection(connection -> found[0] = connection.channel());
        return found[0];
    }

    /** Returns whether the head of the request has no room, so that it must be refused. */
    public static boolean isRefused(HttpServerRequest request) {
        return EntryCodec.isRefused(connection(request));
    }
}
