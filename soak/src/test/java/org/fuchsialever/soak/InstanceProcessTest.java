package org.fuchsialever.soak;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.fuchsialever.platform.CallerStandIn;
import org.fuchsialever.platform.UpstreamStandIn.Behaviour;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;

/** Signals that operators send to the process of an instance. */
class InstanceProcessTest {
    /** Bounds a wait that does not end because of a fault; no test depends on its length. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    @TempDir Path mDirectory;

    /** Guards against a reload that ends the process or leaves no trace for on-call engineers. */
    @Test
    void logsAReloadAndServesOn() throws IOException {
        try (SoakWorld world = new SoakWorld(mDirectory);
                Caller caller = new Caller()) {
            InstanceProgram instance = world.instances().get(0);
            eventually(() -> call(caller, instance, "/safe/x", "c1") == 200);
            Files.writeString(
                    mDirectory.resolve("n1.ini"),
                    Files.readString(mDirectory.resolve("n1.ini")) + "\nlinger = 1 s\n");
            instance.reload();
            eventually(() -> log().contains("\"event\":\"reload\""));
            assertThat(log().contains("\"outcome\":\"changed\""), is(true));
            assertThat(call(caller, instance, "/safe/x", "c2"), is(200));
        }
    }

    /** Guards against a call that is lost because its instance was told to stop. */
    @Test
    void answersACallThatRunsWhenItIsToldToStop() throws IOException {
        try (SoakWorld world = new SoakWorld(mDirectory);
                Caller caller = new Caller()) {
            InstanceProgram instance = world.instances().get(0);
            eventually(() -> call(caller, instance, "/safe/x", "c1") == 200);
            world.upstreams()
                    .values()
                    .forEach(upstream -> upstream.setBehaviour(Behaviour.UNRESPONSIVE));
            Mono<CallerStandIn.Response> running =
                    caller.call(instance, "POST", "/unsafe/x", "c2", "").cache();
            running.subscribe();
            eventually(
                    () ->
                            world.upstreams().values().stream()
                                    .anyMatch(upstream -> upstream.executionCount("c2") == 1));
            instance.terminate(world.record());
            // The upstream never answers, so the call ends at the time limit of its route.
            assertThat(running.map(CallerStandIn.Response::status).block(), is(504));
            eventually(() -> !world.record().exits().isEmpty());
            assertThat(log().contains("\"event\":\"stop\""), is(true));
        }
    }

    private static int call(Caller caller, InstanceProgram instance, String path, String id) {
        return caller.call(instance, "GET", path, id, "")
                .blockOptional()
                .map(CallerStandIn.Response::status)
                .orElse(0);
    }

    private String log() throws IOException {
        return Files.readString(mDirectory.resolve("n1-1.log"));
    }

    private static void eventually(Callable<Boolean> condition) {
        await().atMost(PATIENCE).pollInterval(Duration.ofMillis(50)).until(condition);
    }
}
