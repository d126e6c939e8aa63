package org.fuchsialever.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an engine stand-in that deviates from the documented engine protocol. */
class EngineStandInTest {
    private static final String COMPLETIONS = "/v1/completions";

    private final TestClient mClient = new TestClient();
    private EngineStandIn mEngine =
            new EngineStandIn(
                    new EngineOptions()
                            .tokenInterval(Duration.ZERO)
                            .cacheEntries(1)
                            .cacheEventDropInterval(2)
                            .weightVersion(7));

    @AfterEach
    void stop() {
        mEngine.close();
    }

    @Test
    void resumesAtTheTokenThatTheCallerLacks() throws Exception {
        TestClient.Response response =
                mClient.post(
                        mEngine,
                        COMPLETIONS,
                        "{'prompt':'@a p','stream':true,'max_tokens':5,'resume_from':3}");

        List<JsonNode> chunks = chunks(response.body());
        assertThat(texts(chunks), contains("a.w3 ", "a.w4 "));
        assertThat(chunks.get(0).at("/engine/token_index").asInt(), is(3));
        assertThat(chunks.get(1).at("/usage/completion_tokens").asInt(), is(2));
        assertThat(response.body(), containsString("data: [DONE]"));
    }

    @Test
    void statesVersionAndStartOnEachChunkUntilToldNotTo() throws Exception {
        String call = "{'prompt':'p','stream':true,'max_tokens':2}";
        for (JsonNode chunk : chunks(mClient.post(mEngine, COMPLETIONS, call).body())) {
            assertThat(chunk.at("/engine/weight_version").asInt(), is(7));
            assertThat(chunk.at("/engine/start").asText(), is("engine-start-1"));
        }
        mEngine.setVersionReported(false);
        assertThat(
                mClient.post(mEngine, COMPLETIONS, call).body(),
                not(containsString("weight_version")));
    }

    @Test
    void refusesAnOrderWithAnOldFencingNumber() throws Exception {
        assertThat(order("o-1", 5, 8), is(200));
        assertThat(order("o-2", 4, 9), is(409));
        assertThat(mEngine.weightVersion(), is(8L));
        assertThat(mEngine.orders(), contains(new EngineOrder("o-1", 5, 8)));
    }

    @Test
    void carriesOutAnOldOrderIfItIgnoresFencing() throws Exception {
        mEngine.close();
        mEngine = new EngineStandIn(new EngineOptions().enforceFencing(false));
        assertThat(order("o-1", 5, 8), is(200));
        assertThat(order("o-2", 4, 9), is(200));
        assertThat(mEngine.weightVersion(), is(9L));
    }

    @Test
    void saysNotAdmittedWhenItLeaves() throws Exception {
        mEngine.leave();
        TestClient.Response response = mClient.post(mEngine, COMPLETIONS, "{'prompt':'p'}");
        assertThat(response.status(), is(503));
        assertThat(response.json().at("/error/code").asText(), is("not_admitted"));
        assertThat(
                mClient.get(mEngine, "/engine/load").json().path("leaving").asBoolean(), is(true));
    }

    @Test
    void losesEverySecondCacheEvent() throws Exception {
        mClient.post(mEngine, COMPLETIONS, "{'prompt':'first'}");
        mClient.post(mEngine, COMPLETIONS, "{'prompt':'first'}");
        mClient.post(mEngine, COMPLETIONS, "{'prompt':'second'}");

        JsonNode events =
                mClient.get(mEngine, "/engine/cache-events?after=0").json().path("events");
        assertThat(mEngine.cacheHits(), is(1L));
        assertThat(events.findValuesAsText("seq"), contains("1", "3"));
        assertThat(events.findValuesAsText("stored"), contains("true", "false"));
    }

    @Test
    void endsARunningStreamThatIsCancelled() throws Exception {
        mEngine.close();
        mEngine = new EngineStandIn("engine-start-1", Duration.ofMillis(1));
        String call = "{'prompt':'p','stream':true,'max_tokens':1000000000}".replace('\'', '"');
        try (BufferedReader stream = mClient.open(mEngine, COMPLETIONS, call, "r-1")) {
            stream.readLine();
            assertThat(mClient.call(mEngine, "DELETE", "/v1/requests/r-1", "").status(), is(200));
            // The stream of so many tokens ends within the test only if it is cancelled.
            assertThat(stream.lines().filter(line -> line.contains("[DONE]")).count(), is(0L));
        }
        assertThat(mEngine.running(), is(0));
        assertThat(mEngine.cancelledRequests(), contains("r-1"));
    }

    private int order(String order, int fencing, int version) throws Exception {
        return mClient.post(
                        mEngine,
                        "/engine/orders",
                        "{'order':'%s','fencing':%d,'action':'load_version','version':%d}"
                                .formatted(order, fencing, version))
                .status();
    }

    private static List<JsonNode> chunks(String body) {
        List<JsonNode> chunks = new ArrayList<>();
        for (String event : body.split("\n\n")) {
            if (!event.endsWith("[DONE]")) {
                chunks.add(Json.parse(event.substring("data: ".length()).getBytes()));
            }
        }
        return chunks;
    }

    private static List<String> texts(List<JsonNode> chunks) {
        return chunks.stream().map(chunk -> chunk.at("/choices/0/text").asText()).toList();
    }
}
