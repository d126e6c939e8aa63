package org.fuchsialever.services.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

class BrokenRequestBodyTest {
    private static final long TEST_TIMEOUT_SECONDS = 30;

    /** More than the buffers of both sides hold, so that a part is still being written. */
    private static final int BODY_BYTES = 32 * 1_024 * 1_024;

    /** Guards against a cut body without a length that passes for a whole one. */
    @Test
    void acceptsNoBodyWithoutLengthWhoseConnectionIsResetWhileTheRequestIsWritten()
            throws Exception {
        LoopResources loops = LoopResources.create("broken-body-test", 1, true);
        CountDownLatch partRead = new CountDownLatch(1);
        CompletableFuture<ExchangeOutcome> end = new CompletableFuture<>();
        try (ExchangeClient client = new ExchangeClient(loops, new SimpleMeterRegistry());
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            client.send(request(server.getLocalPort()), listener(partRead, end));
            Socket connection = server.accept();
            connection
                    .getOutputStream()
                    .write(
                            "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"
                                    .getBytes(StandardCharsets.US_ASCII));
            assertThat(partRead.await(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
            connection.setSoLinger(true, 0);
            connection.close();
            assertThat(
                    end.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    is(not(ExchangeOutcome.COMPLETE)));
        } finally {
            loops.dispose();
        }
    }

    private static ExchangeRequest request(int port) {
        return new ExchangeRequest(
                "127.0.0.1",
                port,
                "POST",
                "/",
                new DefaultHttpHeaders().set("Host", "h"),
                new byte[BODY_BYTES],
                "1",
                head -> ResponseMatch.NAMED,
                Duration.ofSeconds(TEST_TIMEOUT_SECONDS),
                Duration.ofSeconds(TEST_TIMEOUT_SECONDS));
    }

    private static ExchangeListener listener(
            CountDownLatch partRead, CompletableFuture<ExchangeOutcome> end) {
        return new ExchangeListener() {
            @Override
            public void onHead(int status, HttpHeaders headers) {}

            @Override
            public ContentVerdict onContent(byte[] bytes) {
                partRead.countDown();
                return ContentVerdict.PROGRESS;
            }

            @Override
            public void onEnd(ExchangeOutcome outcome) {
                end.complete(outcome);
            }
        };
    }
}
