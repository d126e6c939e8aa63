package org.fuchsialever.soak;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.oneOf;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.platform.SubmissionText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Bodies and responses that together exceed the memory of a deployed instance. */
class InstanceMemoryTest {
    /** Bounds a wait that does not end because of a fault; no test depends on its length. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    private static final int LARGE_BYTES = 30_000_000;

    @TempDir Path mDirectory;

    /** Guards against a body within the limit of the manifest that ends with a closed channel. */
    @Test
    void passesABodyOfTheLargestAllowedSizeOn() throws IOException {
        try (DeployedInstance instance = serving();
                RawCaller caller = new RawCaller(instance)) {
            int bytes = DeployedInstance.MAX_BODY_BYTES;
            caller.head("POST", "/safe/x", "r1", bytes).body(bytes);
            assertThat(caller.status(), is(200));
            assertThat(instance.bodyBytes("r1"), is(bytes));
        }
    }

    /** Guards against bodies that are bounded one by one only. */
    @Test
    void rejectsABodyWithoutRoomBeforeItIsSentAndServesSmallCalls() throws IOException {
        try (DeployedInstance instance = serving();
                RawCaller first = new RawCaller(instance);
                RawCaller second = new RawCaller(instance);
                RawCaller third = new RawCaller(instance)) {
            first.head("POST", "/unsafe/x", "r1", LARGE_BYTES).body(1);
            awaitCall(instance);
            second.head("POST", "/unsafe/x", "r2", LARGE_BYTES);
            String refusal = second.response();
            assertThat(refusal, containsString(" 503 "));
            assertThat(refusal, containsString("Retry-After: "));
            third.head("POST", "/unsafe/x", "r3", 10).body(10);
            assertThat(third.status(), is(200));
            // Callers that send on before they read the refusal can read it, too.
            second.body(LARGE_BYTES).head("GET", "/safe/x", "r4", 0);
            assertThat(second.response(), containsString(" 200 "));
            assertThat(instance.bodyBytes("r2"), is(-1));
            assertThat(instance.log(), containsString("no-memory"));
        }
    }

    /** Guards against a promise of room for what can never fit. */
    @Test
    void refusesASubmissionThatCanNeverFitForGood() throws IOException {
        try (DeployedInstance instance = serving();
                RawCaller caller = new RawCaller(instance)) {
            caller.head("POST", "/rollout/b1", "b1", LARGE_BYTES);
            assertThat(caller.status(), is(413));
        }
    }

    /** Guards against a body without a length that grows beyond all room. */
    @Test
    void refusesABodyOfUnknownLengthThatFindsNoRoom() throws IOException {
        try (DeployedInstance instance = serving();
                RawCaller first = new RawCaller(instance);
                RawCaller second = new RawCaller(instance)) {
            first.head("POST", "/unsafe/x", "r1", LARGE_BYTES).body(1);
            awaitCall(instance);
            int chunk = 8_000_000;
            second.head("POST", "/unsafe/x", "r2", "Transfer-Encoding: chunked");
            second.text(Integer.toHexString(chunk) + "\r\n");
            second.body(chunk);
            assertThat(second.status(), is(503));
            awaitCall(instance);
            assertThat(instance.bodyBytes("r2"), is(-1));
        }
    }

    /** Guards against an instance that no longer answers after many bodies came at once. */
    @Test
    void answersCalmSmallCallsBesideFourHundredLargeBodies() throws Exception {
        int large = 400;
        int bytes = 400_000;
        int parts = 40;
        Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
        ScheduledExecutorService senders = new ScheduledThreadPoolExecutor(8);
        try (DeployedInstance instance = serving();
                Closer closer = new Closer()) {
            closer.register("senders", senders::shutdownNow);
            for (int i = 0; i < large; i++) {
                RawCaller caller = closer.register("caller", new RawCaller(instance));
                caller.head("POST", "/safe/x", "large" + i, bytes);
                for (int part = 1; part <= parts; part++) {
                    boolean last = part == parts;
                    senders.schedule(
                            () -> send(caller, bytes / parts, last, statuses),
                            100L * part,
                            TimeUnit.MILLISECONDS);
                }
            }
            int calls = 0;
            while (total(statuses) < large) {
                calls++;
                try (RawCaller calm = new RawCaller(instance)) {
                    calm.head("POST", "/safe/x", "calm" + calls, 10).body(10);
                    assertThat(calm.status(), is(200));
                }
            }
            assertThat(calls, is(greaterThan(10)));
            assertThat(statuses.getOrDefault(200, new AtomicInteger()).get(), is(greaterThan(0)));
            assertThat(statuses.getOrDefault(0, new AtomicInteger()).get(), is(0));
            assertThat(instance.instance().isAlive(), is(true));
            assertThat(instance.log(), not(containsString("OutOfMemory")));
        }
    }

    /** Guards against responses that pile up for callers who do not read them. */
    @Test
    void servesSmallCallsBesideCallersWhoDoNotReadTheirLargeResponses() throws IOException {
        try (DeployedInstance instance = serving();
                Closer closer = new Closer()) {
            List<RawCaller> slow = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                RawCaller caller = closer.register("caller", new RawCaller(instance));
                slow.add(caller.head("GET", DeployedInstance.LARGE_RESPONSES, "slow" + i, 0));
            }
            for (int i = 0; i < 60; i++) {
                // Responses to some of them are held, the others are refused.
                assertThat(slow.get(i).status(), is(greaterThan(0)));
                try (RawCaller calm = new RawCaller(instance)) {
                    calm.head("GET", "/safe/x", "calm" + i, 0);
                    assertThat(calm.status(), is(200));
                }
            }
            assertThat(instance.log(), not(containsString("OutOfMemory")));
        }
    }

    /** Guards against events that pile up, also outside the heap, for callers who do not read. */
    @Test
    void servesSmallCallsBesideCallersWhoDoNotReadTheirStreams() throws IOException {
        try (DeployedInstance instance = serving();
                Closer closer = new Closer()) {
            List<RawCaller> slow = new ArrayList<>();
            int begun = 0;
            for (int i = 0; i < 60; i++) {
                RawCaller caller = closer.register("caller", new RawCaller(instance));
                slow.add(
                        caller.head(
                                "POST",
                                DeployedInstance.LARGE_EVENTS,
                                "slow" + i,
                                "Model: m\r\nContent-Length: 0"));
            }
            for (int i = 0; i < 60; i++) {
                begun += slow.get(i).status() == 200 ? 1 : 0;
                try (RawCaller calm = new RawCaller(instance)) {
                    calm.head("GET", "/safe/x", "calm" + i, 0);
                    assertThat(calm.status(), is(200));
                }
            }
            assertThat(begun, is(greaterThan(0)));
            assertThat(instance.log(), not(containsString("OutOfMemory")));
        }
    }

    /** Guards against submissions whose parsed form exceeds the memory of the instance. */
    @Test
    void servesOnWhateverTheSizeOfASubmissionIs() throws IOException {
        try (DeployedInstance instance = serving()) {
            for (int items : new int[] {1_000, 4_096, 16_000, 32_000, 64_000}) {
                List<String> ids =
                        IntStream.range(0, items)
                                .mapToObj(item -> "b" + items + "-" + item)
                                .toList();
                String submission = SubmissionText.of(ids);
                try (RawCaller trainer = new RawCaller(instance)) {
                    trainer.head("POST", "/rollout/b" + items, "b" + items, submission.length());
                    trainer.text(submission);
                    int status = trainer.status();
                    assertThat(items + " items", status, is(oneOf(202, 413, 503)));
                    assertThat(items > 4_096 || status == 202, is(true));
                }
                awaitCall(instance);
            }
            assertThat(instance.log(), not(containsString("OutOfMemory")));
        }
    }

    /** Guards against an interim response to a caller whose body is refused. */
    @Test
    void asksNoCallerForABodyThatHasNoRoom() throws IOException {
        try (DeployedInstance instance = serving();
                RawCaller first = new RawCaller(instance);
                RawCaller second = new RawCaller(instance)) {
            String framing = "Expect: 100-continue\r\nContent-Length: " + LARGE_BYTES;
            first.head("POST", "/unsafe/x", "r1", framing);
            assertThat(first.status(), is(100));
            second.head("POST", "/unsafe/x", "r2", framing);
            assertThat(second.status(), is(503));
        }
    }

    private DeployedInstance serving() throws IOException {
        DeployedInstance instance = new DeployedInstance(mDirectory);
        awaitCall(instance);
        return instance;
    }

    private static void awaitCall(DeployedInstance instance) {
        await().atMost(PATIENCE)
                .pollInterval(Duration.ofMillis(50))
                .ignoreExceptions()
                .until(
                        () -> {
                            try (RawCaller caller = new RawCaller(instance)) {
                                return caller.head("GET", "/safe/x", "probe", 0).status() == 200;
                            }
                        });
    }

    private static void send(
            RawCaller caller, int bytes, boolean last, Map<Integer, AtomicInteger> statuses) {
        int status = 0;
        try {
            caller.body(bytes);
            status = last ? caller.status() : 0;
        } catch (IOException e) {
            status = 0;
        }
        if (last) {
            statuses.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
        }
    }

    private static int total(Map<Integer, AtomicInteger> statuses) {
        return statuses.values().stream().mapToInt(AtomicInteger::get).sum();
    }
}
