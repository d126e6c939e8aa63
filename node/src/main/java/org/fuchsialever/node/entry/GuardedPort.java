package org.fuchsialever.node.entry;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.function.Consumer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/** HTTP servers whose connections are bounded by the guard of the instance. */
final class GuardedPort {
    private static final int MIN_RECEIVE_BYTES = 2_048;

    /** A connection whose body waits for room holds one such part of it, outside the heap. */
    private static final int MAX_RECEIVE_BYTES = 16 * 1_024;

    /** Longer than the time for which callers reuse an idle connection. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private GuardedPort() {}

    /**
     * Returns a server that is not bound yet.
     *
     * @param host IP address
     * @param port TCP port, 0 for any free one
     * @param onOpen handles a new connection, in its event loop
     */
    static HttpServer server(
            String host,
            int port,
            LoopResources loops,
            CallerGuard guard,
            Consumer<Channel> onOpen) {
        return HttpServer.create()
                .host(host)
                .port(port)
                .runOn(loops)
                .idleTimeout(IDLE_TIMEOUT)
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
}
