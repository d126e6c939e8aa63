package org.fuchsialever.services.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.internal.PlatformDependent;
import java.io.DataInputStream;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

/** Requests whose body is larger than what a connection takes at once. */
class LargeRequestTest {
    private static final long TEST_TIMEOUT_SECONDS = 30;
    private static final int BODY_BYTES = 32 * 1_024 * 1_024;

    private final LoopResources mLoops = LoopResources.create("large-request-test", 1, true);
    private final ExchangeClient mClient = new ExchangeClient(mLoops, new SimpleMeterRegistry());

    @AfterEach
    void release() {
        mClient.close();
        mLoops.dispose();
    }

    /** Guards against copies outside the heap of bodies that an upstream does not read yet. */
    @Test
    void copiesNoMoreOfABodyThanItsConnectionTakes() throws Exception {
        byte[] body = new byte[BODY_BYTES];
        new SplittableRandom(1).nextBytes(body);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            long before = directBytes();
            CompletableFuture<String> result = send(server.getLocalPort(), body);
            try (Socket connection = server.accept()) {
                DataInputStream input = new DataInputStream(connection.getInputStream());
                skipHead(input);
                byte[] received = new byte[BODY_BYTES];
                input.readFully(received, 0, 1_024);
                assertThat(directBytes() - before, is(lessThan(BODY_BYTES / 4L)));
                input.readFully(received, 1_024, BODY_BYTES - 1_024);
                assertThat(Arrays.equals(received, body), is(true));
                connection
                        .getOutputStream()
                        .write(
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                assertThat(result.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS), is("200 COMPLETE"));
            }
        }
    }

    private static void skipHead(DataInputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) input.readByte());
        }
    }

    /** Returns the memory outside the heap, whichever way the transport takes it. */
    private static long directBytes() {
        long counted =
                ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                        .filter(pool -> pool.getName().equals("direct"))
                        .mapToLong(BufferPoolMXBean::getMemoryUsed)
                        .sum();
        return counted + Math.max(0, PlatformDependent.usedDirectMemory());
    }

    private CompletableFuture<String> send(int port, byte[] body) {
        CompletableFuture<String> result = new CompletableFuture<>();
        Duration timeout = Duration.ofSeconds(TEST_TIMEOUT_SECONDS);
        mClient.send(
                new ExchangeRequest(
                        "127.0.0.1",
                        port,
                        "POST",
                        "/x",
                        new DefaultHttpHeaders(),
                        body,
                        "1",
                        head -> ResponseMatch.NAMED,
                        timeout,
                        timeout),
                new ExchangeListener() {
                    private int mStatus;

                    @Override
                    public void onHead(int status, HttpHeaders headers) {
                        mStatus = status;
                    }

                    @Override
                    public ContentVerdict onContent(byte[] bytes) {
                        return ContentVerdict.PROGRESS;
                    }

                    @Override
                    public void onEnd(ExchangeOutcome outcome) {
                        result.complete(mStatus + " " + outcome);
                    }
                });
        return result;
    }
}
