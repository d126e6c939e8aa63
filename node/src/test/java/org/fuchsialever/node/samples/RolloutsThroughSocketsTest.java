package org.fuchsialever.node.samples;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.node.generation.Generation;
import org.fuchsialever.node.generation.GenerationPort;
import org.fuchsialever.node.generation.GenerationRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;

/** Guards against rollouts that fail if the load balancer picks an instance without the lease. */
class RolloutsThroughSocketsTest {
    private static final int MAX_TRIES = 8;
    private static final String GROUPS =
            "[{\"group\":\"a\",\"prompt\":\"p\",\"samples\":3,\"max_tokens\":9},"
                    + "{\"group\":\"b\",\"prompt\":\"late\",\"samples\":2,\"max_tokens\":9}]";

    @TempDir Path mFolder;

    private final FakePlatform mPlatform = new FakePlatform();
    private final FakeLeases mLeases = new FakeLeases(mPlatform);
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Set<String> mUnresponsivePrompts = ConcurrentHashMap.newKeySet();
    private final List<TestInstance> mInstances = new ArrayList<>();

    @BeforeEach
    void startTwoInstances() throws Exception {
        Files.writeString(
                mFolder.resolve("routes.ini"),
                """
                [route rollouts]
                path = /v1/rollouts
                kind = rollout
                pool = small
                access = keyed
                teams = team-1, team-2
                body-limit = 4 KB
                [team team-1]
                weight = 1
                [team team-2]
                weight = 1
                """);
        Files.writeString(
                mFolder.resolve("pools.ini"),
                """
                [pool small]
                kind = engine
                model = small
                maximum = 1
                """);
        GenerationPort engine = this::generate;
        for (String name : List.of("node-1", "node-2")) {
            mInstances.add(
                    new TestInstance(
                            name, mFolder, mPlatform.platform(), mLeases.member(), engine));
        }
    }

    @AfterEach
    void stopInstances() {
        mInstances.forEach(TestInstance::close);
    }

    @Test
    void servesATrainerThroughTheInstanceWithoutTheLease() throws Exception {
        assertThat(submit(0, 1, GROUPS).statusCode(), is(202));
        assertThat(mLeases.isHeldBy(mInstances.get(0).mLeases), is(true));

        TreeMap<Long, String> received = poll(1, 0, 5);

        assertThat(
                new TreeSet<>(received.values()),
                equalTo(new TreeSet<>(Set.of("a/0", "a/1", "a/2", "b/0", "b/1"))));
        assertThat(post(1, "/v1/rollouts/alba/ack", "{\"cursor\":5}").statusCode(), is(200));
        assertThat(
                post(1, "/v1/rollouts/alba/ack", "{\"cursor\":6}").body(),
                containsString("\"code\":\"cursor-beyond-end\""));
        assertThat(mInstances.get(0).violations() + mInstances.get(1).violations(), is(0L));
        assertThat(
                mInstances
                                .get(0)
                                .mMeters
                                .timer("fuchsialever.trainer.idle", "trainer", "alba")
                                .count()
                        > 0,
                is(true));
    }

    @Test
    void continuesOnTheOtherInstanceWhenTheLeaseMoves() throws Exception {
        mUnresponsivePrompts.add("late");
        submit(0, 1, GROUPS);
        TreeMap<Long, String> received = poll(1, 0, 3);
        mInstances.get(0).close();
        mUnresponsivePrompts.clear();
        mLeases.moveFrom(mInstances.get(0).mLeases);

        received.putAll(poll(1, 3, 2));

        assertThat(
                new ArrayList<>(received.values()),
                equalTo(List.of("a/0", "a/1", "a/2", "b/0", "b/1")));
    }

    @Test
    void acceptsARepeatedSubmissionOnceAndRefusesADifferentOne() throws Exception {
        assertThat(submit(0, 1, GROUPS).body(), equalTo("{\"accepted\":5}"));
        assertThat(submit(1, 1, GROUPS).body(), equalTo("{\"accepted\":5}"));

        HttpResponse<String> different = submit(1, 1, GROUPS.replace("late", "other"));

        assertThat(different.statusCode(), is(409));
        assertThat(different.body(), containsString("\"code\":\"step-differs\""));
        assertThat(poll(0, 0, 5).values(), hasSize(5));
    }

    @Test
    void refusesUnauthorisedAndMalformedRequests() throws Exception {
        submit(0, 1, GROUPS);

        assertThat(get(0, "samples?cursor=0", "Bearer none").statusCode(), is(401));
        assertThat(get(0, "samples?cursor=0", "Bearer team-3").statusCode(), is(403));
        assertThat(get(0, "samples?cursor=0", "Bearer team-2").statusCode(), is(403));
        assertThat(get(0, "samples?cursor=x", "Bearer team-1").statusCode(), is(400));
        assertThat(get(0, "samples?cursor=99", "Bearer team-1").statusCode(), is(400));
        assertThat(get(0, "ack", "Bearer team-1").statusCode(), is(400));
        assertThat(post(0, "/v1/rollouts", "{").statusCode(), is(400));
        assertThat(post(0, "/v1/rollouts", "x".repeat(5_000)).statusCode(), is(413));
    }

    private Mono<Generation> generate(GenerationRequest request) {
        if (mUnresponsivePrompts.contains(request.prompt())) {
            return Mono.never();
        }
        TokenRange range = new TokenRange(0, 4, new WeightVersion(7), new UpstreamId("engine-1"));
        return Mono.just(new Generation("text of " + request.id(), List.of(range), 1, 4));
    }

    /** Polls one instance until the given number of samples was received. */
    private TreeMap<Long, String> poll(int instance, long from, int samples) throws Exception {
        TreeMap<Long, String> received = new TreeMap<>();
        long cursor = from;
        int tries = 0;
        while (received.size() < samples) {
            HttpResponse<String> response =
                    get(instance, "samples?wait_ms=2000&cursor=" + cursor, "Bearer team-1");
            tries++;
            assertThat(response.body(), tries, lessThan(MAX_TRIES));
            JsonNode page = mMapper.readTree(response.body());
            for (JsonNode sample : page.path("samples")) {
                assertThat(sample.path("position").asLong(), is(cursor));
                assertThat(
                        sample.path("ranges").toString(),
                        is(
                                "[{\"from\":0,\"to\":4,\"weight_version\":7,\"upstream\":\"engine-1\"}]"));
                received.put(
                        cursor, sample.path("group").asText() + "/" + sample.path("index").asInt());
                cursor++;
            }
        }
        return received;
    }

    private HttpResponse<String> submit(int instance, long step, String groups) throws Exception {
        return post(
                instance,
                "/v1/rollouts",
                "{\"trainer\":\"alba\",\"step\":"
                        + step
                        + ",\"model\":\"small\",\"max_staleness\":1,\"deadline_ms\":60000,"
                        + "\"groups\":"
                        + groups
                        + "}");
    }

    private HttpResponse<String> get(int instance, String path, String authorization)
            throws Exception {
        return send(
                request(instance, "/v1/rollouts/alba/" + path)
                        .header("Authorization", authorization)
                        .GET());
    }

    private HttpResponse<String> post(int instance, String path, String body) throws Exception {
        return send(
                request(instance, path)
                        .header("Authorization", "Bearer team-1")
                        .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private HttpRequest.Builder request(int instance, String path) {
        return HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + mInstances.get(instance).mPort + path));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
