package org.fuchsialever.node.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.DataInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.decisions.memory.MemoryShare;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

class EventWriterTest {
    private static final int EVENT_BYTES = 256 * 1_024;
    private static final int EVENT_COUNT = 1_000;

    /** Several times what the buffers of a loopback connection hold of such events. */
    private static final int MAX_TAKEN = 100;

    private static final int TIMEOUT_MILLIS = 30_000;

    /** Guards against events that pile up outside the heap for a caller who does not read. */
    @Test
    void takesNoEventsInAdvanceForACallerWhoDoesNotRead() throws Exception {
        InstanceMemory memory =
                new InstanceMemory(
                        10L * EVENT_COUNT * EVENT_BYTES,
                        SystemTimeSource.INSTANCE,
                        Schedulers.immediate(),
                        new SimpleMeterRegistry());
        InstanceMemory.Lease lease = memory.open();
        AtomicInteger taken = new AtomicInteger();
        Flux<byte[]> events =
                Flux.range(0, EVENT_COUNT)
                        .map(number -> new byte[EVENT_BYTES])
                        .filter(event -> lease.tryTake(MemoryShare.RESPONSE, event.length))
                        .doOnNext(event -> taken.incrementAndGet());
        DisposableServer server =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(0)
                        .handle(
                                (request, response) ->
                                        EventWriter.write(
                                                response.chunkedTransfer(true), events, lease))
                        .bindNow();
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(4_096);
            caller.setSoTimeout(TIMEOUT_MILLIS);
            caller.connect(new InetSocketAddress("127.0.0.1", server.port()));
            caller.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            DataInputStream input = new DataInputStream(caller.getInputStream());
            input.readFully(new byte[2 * EVENT_BYTES]);
            assertThat(taken.get(), is(lessThan(MAX_TAKEN)));
            input.readFully(new byte[(MAX_TAKEN + 10) * EVENT_BYTES]);
            assertThat(taken.get(), is(greaterThan(MAX_TAKEN)));
        } finally {
            server.disposeNow(Duration.ofSeconds(1));
        }
    }
}
