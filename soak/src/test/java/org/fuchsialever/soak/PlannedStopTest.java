package org.fuchsialever.soak;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.platform.CallerStandIn;
import org.fuchsialever.platform.SlowUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** A planned stop of the process of an instance under load. */
class PlannedStopTest {
    /** Bounds a wait that does not end because of a fault; no test depends on its length. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    /** After this time the process would be killed. */
    private static final Duration GRACE = Duration.ofSeconds(8);

    /** Longer than the interval of the calls, so that some call runs at any time. */
    private static final Duration RUN_TIME = Duration.ofMillis(400);

    private static final Duration CALL_INTERVAL = Duration.ofMillis(30);
    private static final int CALLS_BEFORE = 20;
    private static final int NO_ANSWER = 0;
    private static final int OK_STATUS = 200;
    private static final int NOT_RUN_STATUS = 503;

    @TempDir Path mDirectory;

    /** Guards against calls that are taken late in the grace and cut at its end. */
    @Test
    void answersOrRefusesEachCallThatArrivesUntilTheProcessIsGone() throws IOException {
        try (SoakWorld world = new SoakWorld(mDirectory);
                SlowUpstream upstream = new SlowUpstream("p9", RUN_TIME);
                Caller caller = new Caller()) {
            InstanceProgram instance = onlyUpstream(world, caller, upstream);
            Map<String, Integer> answers = new ConcurrentHashMap<>();
            Map<String, Integer> sent = new ConcurrentHashMap<>();
            Disposable load = load(caller, instance, sent, answers);
            eventually(() -> answers.size() >= CALLS_BEFORE);
            int sentBefore = sent.size();
            instance.terminate(world.record());
            eventually(() -> !world.record().exits().isEmpty());
            load.dispose();
            eventually(() -> answers.size() == sent.size());
            assertNothingLost(answers, upstream);
            long servedLater =
                    answers.entrySet().stream()
                            .filter(call -> number(call.getKey()) >= sentBefore)
                            .filter(call -> call.getValue() == OK_STATUS)
                            .count();
            assertThat(servedLater, greaterThan(0L));
            assertThat(
                    Duration.ofNanos(world.record().exits().get(0).tookNanos()), lessThan(GRACE));
        }
    }

    /** Guards against a second signal that ends the process while calls run. */
    @Test
    void answersWhatItTookAlthoughItIsToldToStopTwice() throws IOException {
        try (SoakWorld world = new SoakWorld(mDirectory);
                SlowUpstream upstream = new SlowUpstream("p9", RUN_TIME);
                Caller caller = new Caller()) {
            InstanceProgram instance = onlyUpstream(world, caller, upstream);
            Map<String, Integer> answers = new ConcurrentHashMap<>();
            Map<String, Integer> sent = new ConcurrentHashMap<>();
            Disposable load = load(caller, instance, sent, answers);
            eventually(() -> answers.size() >= CALLS_BEFORE);
            instance.terminate(world.record());
            int answered = answers.size();
            eventually(() -> answers.size() >= answered + CALLS_BEFORE);
            instance.terminate(world.record());
            eventually(() -> !world.record().exits().isEmpty());
            load.dispose();
            eventually(() -> answers.size() == sent.size());
            assertNothingLost(answers, upstream);
        }
    }

    /** Guards against kept connections that are cut by the end of the process. */
    @Test
    void closesConnectionsThatAreKeptWithoutARequestBeforeItEnds() throws IOException {
        try (SoakWorld world = new SoakWorld(mDirectory);
                SlowUpstream upstream = new SlowUpstream("p9", RUN_TIME);
                Caller caller = new Caller()) {
            InstanceProgram instance = onlyUpstream(world, caller, upstream);
            // Answered in the event loop, unlike a call that was passed on.
            assertThat(
                    caller.call(instance, "GET", "/none/x", "none", "")
                            .map(CallerStandIn.Response::status)
                            .block(),
                    is(404));
            instance.terminate(world.record());
            eventually(() -> !world.record().exits().isEmpty());
            String log = Files.readString(mDirectory.resolve("n1-1.log"));
            assertThat(log, containsString("\"event\":\"drained\",\"inProgress\":0"));
            assertThat(log, containsString("\"connections\":0"));
        }
    }

    /** Has one slow upstream serve all calls and waits until the instance knows that. */
    private static InstanceProgram onlyUpstream(
            SoakWorld world, Caller caller, SlowUpstream upstream) {
        world.register("p1", "draining");
        world.register("p2", "draining");
        upstream.register(world.store(), "plain");
        InstanceProgram instance = world.instances().get(0);
        int[] probe = new int[1];
        eventually(
                () -> {
                    String id = "probe-" + probe[0]++;
                    return status(caller, instance, false, id) == OK_STATUS
                            && upstream.runs().containsKey(id);
                });
        return instance;
    }

    private static Disposable load(
            Caller caller,
            InstanceProgram instance,
            Map<String, Integer> sent,
            Map<String, Integer> answers) {
        return Flux.interval(CALL_INTERVAL)
                .onBackpressureDrop()
                .subscribe(
                        number -> {
                            boolean safe = number % 2 == 0;
                            String id = (safe ? "safe-" : "unsafe-") + number;
                            sent.put(id, 1);
                            caller.call(instance, method(safe), path(safe), id, "")
                                    .map(CallerStandIn.Response::status)
                                    .defaultIfEmpty(NO_ANSWER)
                                    .subscribe(status -> answers.put(id, status));
                        });
    }

    private static void assertNothingLost(Map<String, Integer> answers, SlowUpstream upstream) {
        List<String> cut =
                upstream.runs().keySet().stream()
                        .filter(id -> answers.getOrDefault(id, OK_STATUS) == NO_ANSWER)
                        .sorted()
                        .toList();
        assertThat("calls that were passed on and cut", cut, is(List.of()));
        List<String> untrue =
                answers.entrySet().stream()
                        .filter(call -> call.getValue() == NOT_RUN_STATUS)
                        .map(Map.Entry::getKey)
                        .filter(upstream.runs()::containsKey)
                        .toList();
        assertThat("calls that were refused as not run and ran", untrue, is(List.of()));
    }

    private static int status(Caller caller, InstanceProgram instance, boolean safe, String id) {
        return caller.call(instance, method(safe), path(safe), id, "")
                .blockOptional()
                .map(CallerStandIn.Response::status)
                .orElse(NO_ANSWER);
    }

    private static String method(boolean safe) {
        return safe ? "GET" : "POST";
    }

    private static String path(boolean safe) {
        return safe ? "/safe/x" : "/unsafe/x";
    }

    private static long number(String id) {
        return Long.parseLong(id.substring(id.indexOf('-') + 1));
    }

    private static void eventually(Callable<Boolean> condition) {
        await().atMost(PATIENCE).pollInterval(Duration.ofMillis(50)).until(condition);
    }
}
