package org.fuchsialever.node.entry;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fuchsialever.decisions.memory.MemoryShare;
import org.fuchsialever.kernel.time.TimeSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** HTTP server for metrics. Anybody may call it, so it is bounded like the ports of callers. */
final class MetricsServer implements AutoCloseable {
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    /** Collectors ask every few seconds; a text for each request would take the event loop. */
    private static final long TEXT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The transport copies a text once more. */
    private static final long COPIES = 2;

    private static final int UNAVAILABLE_STATUS = 503;
    private static final String RETRY_AFTER_SECONDS = "1";

    private final Supplier<String> mMetrics;
    private final InstanceMemory mMemory;
    private final BodyReader mBodies;
    private final TimeSource mTime;
    private final DisposableServer mServer;
    private byte[] mText = new byte[0];
    private long mTextNanos;

    /**
     * Opens a port.
     *
     * @param host IP address
     * @param port TCP port
     * @param metrics returns the text
     */
    MetricsServer(
            String host,
            int port,
            LoopResources loops,
            Supplier<String> metrics,
            InstanceMemory memory,
            BodyReader bodies,
            CallerGuard guard,
            TimeSource time) {
        mMetrics = metrics;
        mMemory = memory;
        mBodies = bodies;
        mTime = time;
        mServer =
                GuardedPort.server(host, port, loops, guard, channel -> {})
                        .handle(this::handle)
                        .bindNow();
    }

    @Override
    public void close() {
        mServer.disposeNow(CLOSE_TIMEOUT);
    }

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        InstanceMemory.Lease lease = mMemory.open();
        byte[] text = text();
        boolean hasRoom =
                !isRefused(request) && lease.tryTake(MemoryShare.RESPONSE, COPIES * text.length);
        Mono<Void> sent = hasRoom ? send(response, text) : refuse(response);
        return sent.doFinally(signal -> lease.close())
                .then(Mono.defer(() -> mBodies.discard(request)));
    }

    private static Mono<Void> send(HttpServerResponse response, byte[] text) {
        return response.header(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(text.length))
                .sendByteArray(Mono.just(text))
                .then();
    }

    private static Mono<Void> refuse(HttpServerResponse response) {
        return response.status(UNAVAILABLE_STATUS)
                .header(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
                .header(HttpHeaderNames.CONTENT_LENGTH, "0")
                .send();
    }

    /** Returns whether the head of a request has no room. */
    private static boolean isRefused(HttpServerRequest request) {
        Channel[] found = new Channel[1];
        request.withConnection(connection -> found[0] = connection.channel());
        return EntryCodec.isRefused(found[0]);
    }

    private synchronized byte[] text() {
        long now = mTime.nanoTime();
        if (mText.length == 0 || now - mTextNanos >= TEXT_LIFETIME_NANOS) {
            mText = mMetrics.get().getBytes(StandardCharsets.UTF_8);
            mTextNanos = now;
        }
        return mText;
    }
}
