package org.fuchsialever.node.hosted;

import static org.fuchsialever.node.hosted.HostedFixture.KEY;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.lifecycle.StopRequest;
import org.fuchsialever.platform.CallerStandIn;
import org.fuchsialever.platform.CallerStandIn.Response;
import org.fuchsialever.platform.ManifestText;
import org.fuchsialever.platform.SlowUpstream;
import org.fuchsialever.platform.StoreStandIn;
import org.fuchsialever.platform.UpstreamStandIn.Behaviour;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** What callers see of an instance that is told to stop. */
class StoppingInstanceTest {
    /** The calls of the tests may take 3 s, which never fits into this grace period. */
    private static final String SHORT_GRACE = "grace = 3 s\nlinger = 2500 ms\n";

    private static final String SHORT_LINGER = "grace = 2 s\nlinger = 100 ms\n";

    private static final String HEAD =
            "POST /unsafe/x HTTP/1.1\r\nHost: "
                    + ManifestText.HOST
                    + "\r\nRequest-Id: raw\r\nAuthorization: Bearer "
                    + KEY
                    + "\r\nDeadline-Ms: 3000\r\nContent-Length: 10\r\n";

    private static final int NO_ANSWER = 0;

    /** Guards against calls that are passed on though the process may be gone before they end. */
    @Test
    void refusesACallThatMayOutlastTheGraceAndWaitsForThoseThatItTook() {
        try (HostedFixture fixture = new HostedFixture();
                SlowUpstream upstream = new SlowUpstream("p9", Duration.ofMillis(1_500))) {
            serve(fixture, upstream, SHORT_GRACE);
            CompletableFuture<Response> held = callLater(fixture, "held");
            fixture.eventually(() -> upstream.runs().containsKey("held"));
            CompletableFuture<Void> stopped = fixture.stopLater("n1");
            fixture.eventually(() -> readiness(fixture) == 503);
            Response late = fixture.call("n1", "POST", "/unsafe/x", "late", KEY, "");
            assertThat(late.status(), is(503));
            assertThat(late.headers(), hasKey("Retry-After"));
            assertThat(late.headers().get("connection"), is("close"));
            assertThat(held.join().status(), is(200));
            stopped.join();
            assertThat(upstream.runs(), not(hasKey("late")));
        }
    }

    /** Guards against a call that is cut without an answer because its upstream is slow. */
    @Test
    void answersACallThatStillRunsAtTheEndOfTheGraceWithoutAPromise() {
        try (HostedFixture fixture = new HostedFixture()) {
            fixture.mStore.write("op", "config", ManifestText.of(2, KEY));
            fixture.upstream("p1", "plain");
            fixture.start("n1", SHORT_LINGER, new StopRequest());
            fixture.awaitServing("n1");
            fixture.upstream("p1").setBehaviour(Behaviour.UNRESPONSIVE);
            CompletableFuture<Response> running = callLater(fixture, "r1");
            fixture.eventually(() -> fixture.upstream("p1").executionCount("r1") == 1);
            fixture.stopLater("n1").join();
            assertThat(running.join().status(), is(502));
            assertThat(running.join().headers().get("connection"), is("close"));
        }
    }

    /** Guards against a call whose body never arrives and that is cut or said to have run. */
    @Test
    void refusesACallWhoseBodyHasNotArrivedAtTheEndOfTheGrace() throws IOException {
        try (HostedFixture fixture = new HostedFixture();
                SlowUpstream upstream = new SlowUpstream("p9", Duration.ZERO)) {
            serve(fixture, upstream, SHORT_LINGER);
            try (Socket socket = open(fixture, HEAD + "\r\nabc")) {
                // Read before the stop begins, because the second call comes behind the first one.
                assertThat(fixture.call("n1", "GET", "/safe/x", "r1", KEY, "").status(), is(200));
                CompletableFuture<Void> stopped = fixture.stopLater("n1");
                String answer = ascii(socket.getInputStream().readAllBytes());
                assertThat(answer, containsString("HTTP/1.1 503"));
                assertThat(answer.toLowerCase(Locale.ROOT), containsString("retry-after"));
                stopped.join();
                assertThat(upstream.runs(), not(hasKey("raw")));
            }
        }
    }

    @Test
    void closesAConnectionWithoutARequestOrWithHalfAHead() throws IOException {
        try (HostedFixture fixture = new HostedFixture();
                SlowUpstream upstream = new SlowUpstream("p9", Duration.ZERO)) {
            serve(fixture, upstream, SHORT_LINGER);
            try (Socket idle = open(fixture, "");
                    Socket half = open(fixture, HEAD)) {
                CompletableFuture<Void> stopped = fixture.stopLater("n1");
                assertThat(ascii(idle.getInputStream().readAllBytes()), is(""));
                assertThat(ascii(half.getInputStream().readAllBytes()), is(""));
                stopped.join();
            }
        }
    }

    /** Guards against calls that are cut because the handover of submissions took all the time. */
    @Test
    void answersTheCallsThatItTakesWhileASubmissionCanNotBeHandedOver() {
        try (HostedFixture fixture = new HostedFixture();
                SlowUpstream upstream = new SlowUpstream("p9", Duration.ofMillis(600));
                CallerStandIn caller =
                        CallerStandIn.withPersistentConnections(HostedFixture.TIMEOUT)) {
            fixture.upstream("e1", "engines").setBehaviour(Behaviour.UNRESPONSIVE);
            serve(fixture, upstream, "");
            assertThat(fixture.submit("n1", "b1", "i1").status(), is(202));
            fixture.eventually(() -> fixture.upstream("e1").executionCount("i1") > 0);
            fixture.mStore.setMode(StoreStandIn.Mode.UNRESPONSIVE);
            Map<String, Integer> answers = new ConcurrentHashMap<>();
            Set<String> sent = ConcurrentHashMap.newKeySet();
            Disposable load =
                    Flux.interval(Duration.ofMillis(20))
                            .onBackpressureDrop()
                            .subscribe(number -> send(fixture, caller, number, sent, answers));
            fixture.eventually(() -> answers.containsValue(200));
            fixture.stopLater("n1").join();
            load.dispose();
            fixture.eventually(() -> answers.size() == sent.size());
            List<String> cut =
                    upstream.runs().keySet().stream()
                            .filter(id -> answers.getOrDefault(id, 200) == NO_ANSWER)
                            .toList();
            assertThat(cut, is(List.of()));
            assertThat(
                    answers.entrySet().stream()
                            .filter(call -> call.getValue() == 503)
                            .anyMatch(call -> upstream.runs().containsKey(call.getKey())),
                    is(false));
        }
    }

    /** Guards against an instance that becomes ready after it was told to stop. */
    @Test
    void takesNoCallIfItWasToldToStopWhileItStarted() {
        try (HostedFixture fixture = new HostedFixture();
                SlowUpstream upstream = new SlowUpstream("p9", Duration.ZERO)) {
            StopRequest stop = new StopRequest();
            stop.stop(System.nanoTime() - TimeUnit.MINUTES.toNanos(1));
            fixture.mStore.write("op", "config", ManifestText.of(2, KEY));
            upstream.register(fixture.mStore, "plain");
            fixture.start("n1", "", stop);
            assertThat(readiness(fixture), is(503));
            assertThat(fixture.call("n1", "GET", "/safe/x", "r1", KEY, "").status(), is(503));
            fixture.stopLater("n1").join();
            assertThat(upstream.runs(), not(hasKey("r1")));
        }
    }

    private static void serve(HostedFixture fixture, SlowUpstream upstream, String settings) {
        fixture.mStore.write("op", "config", ManifestText.of(2, KEY));
        upstream.register(fixture.mStore, "plain");
        fixture.start("n1", settings, new StopRequest());
        fixture.awaitServing("n1");
    }

    private static CompletableFuture<Response> callLater(HostedFixture fixture, String id) {
        return CompletableFuture.supplyAsync(
                () -> fixture.call("n1", "POST", "/unsafe/x", id, KEY, ""));
    }

    private static void send(
            HostedFixture fixture,
            CallerStandIn caller,
            long number,
            Set<String> sent,
            Map<String, Integer> answers) {
        String id = "call-" + number;
        sent.add(id);
        caller.call("127.0.0.1:" + fixture.port("n1"), "POST", "/unsafe/x", id, KEY, "")
                .map(Response::status)
                .onErrorReturn(NO_ANSWER)
                .subscribe(status -> answers.put(id, status));
    }

    private static int readiness(HostedFixture fixture) {
        return fixture.call("n1", "GET", "/api/readyz", "ready", "", "").status();
    }

    private static Socket open(HostedFixture fixture, String bytes) throws IOException {
        Socket socket = new Socket("127.0.0.1", fixture.port("n1"));
        socket.setSoTimeout((int) HostedFixture.TIMEOUT.toMillis());
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String ascii(byte[] bytes) {
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
