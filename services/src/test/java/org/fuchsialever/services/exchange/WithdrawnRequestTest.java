package org.fuchsialever.services.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

/** Requests that their listener withdraws before they are sent. */
class WithdrawnRequestTest {
    private static final long TEST_TIMEOUT_SECONDS = 30;
    private static final Duration TIME_LIMIT = Duration.ofSeconds(20);
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private final LoopResources mLoops = LoopResources.create("exchange-test", 1, true);
    private final ExchangeClient mClient = new ExchangeClient(mLoops, new SimpleMeterRegistry());

    @AfterEach
    void release() {
        mClient.close();
        mLoops.dispose();
    }

    @Test
    void opensNoConnectionForAWithdrawnRequest() throws Exception {
        try (ScriptedServer server = new ScriptedServer(RESPONSE, RESPONSE)) {
            assertThat(send(server, 0), is(ExchangeOutcome.WITHDRAWN));
            assertThat(send(server, 2), is(ExchangeOutcome.COMPLETE));
            assertThat(server.connections(), is(1));
        }
    }

    /** Guards against a request that is sent although its reason ended while it waited. */
    @Test
    void sendsNothingOnceARequestIsWithdrawnWhileItsConnectionIsOpened() throws Exception {
        try (ScriptedServer server = new ScriptedServer(RESPONSE, RESPONSE)) {
            assertThat(send(server, 1), is(ExchangeOutcome.WITHDRAWN));
            assertThat(send(server, 2), is(ExchangeOutcome.COMPLETE));
        }
    }

    /** Sends a request that is withdrawn once its listener was asked a number of times. */
    private ExchangeOutcome send(ScriptedServer server, int askedBefore) throws Exception {
        CompletableFuture<ExchangeOutcome> result = new CompletableFuture<>();
        AtomicInteger asked = new AtomicInteger();
        ExchangeRequest request =
                new ExchangeRequest(
                        "127.0.0.1",
                        server.port(),
                        "GET",
                        "/",
                        new DefaultHttpHeaders().set("Host", "h"),
                        new byte[0],
                        "id-" + askedBefore,
                        head -> ResponseMatch.NAMED,
                        TIME_LIMIT,
                        TIME_LIMIT);
        mClient.send(
                request,
                new ExchangeListener() {
                    @Override
                    public boolean maySend() {
                        return asked.getAndIncrement() < askedBefore;
                    }

                    @Override
                    public void onHead(int status, HttpHeaders headers) {}

                    @Override
                    public ContentVerdict onContent(byte[] bytes) {
                        return ContentVerdict.PROGRESS;
                    }

                    @Override
                    public void onEnd(ExchangeOutcome outcome) {
                        result.complete(outcome);
                    }
                });
        return result.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
