package org.fuchsialever.soak;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.node.NodeMain;
import org.fuchsialever.platform.CallerStandIn;
import org.fuchsialever.platform.FloodingUpstream;
import org.fuchsialever.platform.FloodingUpstream.Flood;
import org.fuchsialever.platform.FreePorts;
import org.fuchsialever.platform.InstanceSettings;
import org.fuchsialever.platform.ManifestText;
import org.fuchsialever.platform.StoreStandIn;
import org.fuchsialever.platform.UpstreamStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * A faulty upstream sends bytes without end, or many at once, to an instance that runs as a process
 * with the memory of the deploy file, while calls go to a healthy one.
 */
class FloodedInstanceTest {
    /** Options of the deploy file that bound memory; the process ends where its heap runs out. */
    private static final List<String> OPTIONS =
            List.of(
                    "-Xmx96m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:MaxDirectMemorySize=48m",
                    "-Dio.netty.allocator.type=unpooled",
                    "-XX:+ExitOnOutOfMemoryError");

    /** Bounds waits that a fault would make endless; no test depends on its length. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    /** Their responses together are more than twice the heap of the instance. */
    private static final int FLOODED_CALLS = 60;

    /** Longer than the time limit of each call, so that an instance answers first. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

    /** Longer than a flood takes, so that no call ends by its time limit before its bound. */
    private static final int TIMEOUT_MILLIS = 50_000;

    /** Shorter than the time limit of the call, at which it would end anyway. */
    private static final Duration UNTIL_CLOSED = Duration.ofMillis(TIMEOUT_MILLIS / 2);

    private static final String MANIFEST =
            ManifestText.of(2, SoakWorld.KEY)
                    .replace("\"timeoutMs\":3000", "\"timeoutMs\":" + TIMEOUT_MILLIS);

    private static final int SLOW_CALLERS = 8;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int HEALTHY_CALLS = 200;
    private static final int SLOTS = 64;

    private final Closer mCloser = new Closer();
    private final int mPort = FreePorts.next();
    @TempDir Path mDirectory;

    FloodedInstanceTest() throws IOException {}

    @AfterEach
    void release() {
        mCloser.close();
    }

    /** Guards against a machine whose clients all fail because one upstream floods it. */
    @ParameterizedTest
    @EnumSource(
            value = Flood.class,
            names = {"HEAD", "BODY", "HELD_BODY", "FOREIGN", "EVENT"})
    void answersAllOtherCallsWhileAnUpstreamFloodsManyConnections(Flood flood) throws IOException {
        FloodingUpstream upstream = mCloser.register("flood", new FloodingUpstream("f1", flood));
        Process process = start(upstream);
        for (int n = 0; n < FLOODED_CALLS; n++) {
            callWithoutReading("f" + n);
        }
        eventually(() -> upstream.settledResponses() >= FLOODED_CALLS || !process.isAlive());
        assertHealthy();
    }

    /** Guards against events that pile up for callers who do not read them. */
    @Test
    void answersAllOtherCallsWhileAnUpstreamFloodsStreamsThatNobodyReads() throws IOException {
        FloodingUpstream upstream =
                mCloser.register("flood", new FloodingUpstream("f1", Flood.STREAM));
        Process process = start(upstream);
        for (int n = 0; n < SLOW_CALLERS; n++) {
            callWithoutReading("s" + n);
        }
        eventually(() -> upstream.settledResponses() >= SLOW_CALLERS || !process.isAlive());
        assertHealthy();
    }

    /** Guards against streams that are read until their time is over, though nobody takes them. */
    @Test
    void stopsReadingAStreamWhoseCallerHasLeft() throws Exception {
        FloodingUpstream upstream =
                mCloser.register("flood", new FloodingUpstream("f1", Flood.ONE_EVENT));
        start(upstream);
        Socket caller = callWithoutReading("s1");
        // The first byte of the response shows that the stream has begun.
        assertThat(caller.getInputStream().read(), is((int) 'H'));
        caller.close();
        assertThat(upstream.awaitClosedByPeer(1, UNTIL_CLOSED), is(true));
    }

    private Socket callWithoutReading(String id) throws IOException {
        Socket caller = mCloser.register(id, new Socket());
        caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        caller.connect(new InetSocketAddress("127.0.0.1", mPort));
        caller.getOutputStream().write(streamRequest(id));
        return caller;
    }

    private void assertHealthy() throws IOException {
        assertThat(failuresOfHealthyCalls(), is(empty()));
        assertThat(log(), not(containsString("OutOfMemory")));
        assertThat(log(), not(containsString("OutOfDirectMemory")));
    }

    private Process start(FloodingUpstream flooding) throws IOException {
        StoreStandIn store = mCloser.register("store", new StoreStandIn());
        store.write("op", "config", MANIFEST);
        mCloser.register("p1", new UpstreamStandIn("p1", "plain", Map.of()))
                .register(store, "ready");
        flooding.register(store, "engines", SLOTS);
        Path settings = mDirectory.resolve("n1.ini");
        Files.writeString(settings, InstanceSettings.of("n1", store.address(), mPort));
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(NodeMain.class.getName(), "--settings", settings.toString()));
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(logFile().toFile())
                        .start();
        mCloser.register("n1", () -> process.destroyForcibly().onExit().join());
        CallerStandIn probe = caller("probe");
        eventually(() -> status(probe, "GET", "/safe/x", "probe").blockOptional().orElse(0) == 200);
        return process;
    }

    private CallerStandIn caller(String name) {
        return mCloser.register(name, CallerStandIn.withPersistentConnections(CALL_TIMEOUT));
    }

    /** Returns the statuses of the calls to the healthy upstream that did not succeed. */
    private List<Integer> failuresOfHealthyCalls() {
        CallerStandIn caller = caller("healthy callers");
        return Flux.range(0, HEALTHY_CALLS)
                .concatMap(n -> status(caller, "GET", "/safe/x", "h" + n))
                .filter(status -> status != 200)
                .collectList()
                .blockOptional(PATIENCE)
                .orElseThrow();
    }

    /** Returns the status of a call, 0 if its connection ends without a response. */
    private Mono<Integer> status(CallerStandIn caller, String method, String path, String id) {
        return caller.call("127.0.0.1:" + mPort, method, path, id, SoakWorld.KEY, "")
                .map(CallerStandIn.Response::status)
                .onErrorReturn(0);
    }

    private static byte[] streamRequest(String id) {
        return ("POST /stream/x HTTP/1.1\r\nHost: "
                        + ManifestText.HOST
                        + "\r\nRequest-Id: "
                        + id
                        + "\r\nAuthorization: Bearer "
                        + SoakWorld.KEY
                        + "\r\nDeadline-Ms: "
                        + TIMEOUT_MILLIS
                        + "\r\nModel: m\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private Path logFile() {
        return mDirectory.resolve("n1.log");
    }

    private String log() throws IOException {
        return Files.readString(logFile());
    }

    private static void eventually(Callable<Boolean> condition) {
        await().atMost(PATIENCE).pollInterval(Duration.ofMillis(50)).until(condition);
    }
}
