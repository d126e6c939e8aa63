package org.fuchsialever.soak;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fuchsialever.platform.ManifestText;
import org.fuchsialever.platform.StoreStandIn;
import org.fuchsialever.platform.SubmissionText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Submissions of lost instances whose contents together exceed the memory of a deployed one. */
class TakeoverMemoryTest {
    /** Bounds a wait that does not end because of a fault; no test depends on its length. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    private static final int SUBMISSIONS = 60;
    private static final int ITEMS = 250;
    private static final int BODY_CHARACTERS = 8_000;

    /** An instance that loads all of them has run out of memory long before. */
    private static final Duration LOADING_TIME = Duration.ofSeconds(15);

    @TempDir Path mDirectory;

    /** Guards against a process that runs out of memory again and again after a loss. */
    @Test
    void servesOnWhenOtherInstancesAreLost() throws IOException {
        try (DeployedInstance instance =
                new DeployedInstance(mDirectory, TakeoverMemoryTest::writeSubmissions)) {
            await().atMost(PATIENCE)
                    .pollInterval(Duration.ofMillis(100))
                    .until(() -> instance.log().contains("\"event\":\"opened\""));
            await().atMost(PATIENCE).pollDelay(LOADING_TIME).until(() -> true);
            assertThat(instance.instance().isAlive(), is(true));
            assertThat(call(instance), is(200));
        }
    }

    private static int call(DeployedInstance instance) throws IOException {
        try (RawCaller caller = new RawCaller(instance)) {
            return caller.head("GET", "/safe/x", "probe", 0).status();
        }
    }

    /** The items never end, so that no memory is freed. */
    private static void writeSubmissions(StoreStandIn store) {
        String body = "x".repeat(BODY_CHARACTERS);
        Map<String, String> bodies =
                IntStream.range(0, ITEMS)
                        .mapToObj(item -> "ID-" + item)
                        .collect(Collectors.toMap(item -> item, item -> body));
        String content =
                SubmissionText.of(bodies, 1)
                        .replace("\"path\":\"/rollout/", "\"path\":\"" + DeployedInstance.HELD);
        for (int number = 0; number < SUBMISSIONS; number++) {
            String id = "b" + number;
            store.writeObject("batch-" + id, content.replace("ID-", id + "-"));
            store.write(
                    "batches",
                    id,
                    "{\"id\":\""
                            + id
                            + "\",\"team\":\"team\",\"host\":\""
                            + ManifestText.HOST
                            + "\",\"path\":\"/rollout/"
                            + id
                            + "\",\"total\":"
                            + ITEMS
                            + ",\"listed\":0,\"submitted\":"
                            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
                            + ",\"owner\":\"lost\",\"start\":\"s\",\"epoch\":1,\"ended\":false,"
                            + "\"model\":\"m\",\"minVersion\":1,\"copy\":0,\"bytes\":"
                            + ITEMS * (BODY_CHARACTERS + 2_048)
                            + "}");
        }
    }
}
