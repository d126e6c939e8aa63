package org.fuchsialever.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against platform stand-ins that accept what the real platform would refuse. */
class PlatformStandInsTest {
    private final TestClient mClient = new TestClient();
    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private final StandInEnvironment mEnvironment =
            StandInEnvironment.builder()
                    .tableService()
                    .objectStore()
                    .usage()
                    .weightStore(mTime, Duration.ofSeconds(1), 1)
                    .ordering(Duration.ofMinutes(1), Duration.ZERO)
                    .start();

    @AfterEach
    void stop() {
        mEnvironment.close();
    }

    @Test
    void conflictsNameTheRowAndChangeNothing() throws Exception {
        TableServiceStandIn tables = mEnvironment.tableService();
        long version = tables.put("t", "a/b", "first");
        TestClient.Response response =
                mClient.post(
                        tables,
                        "/tables/commit",
                        "{'writer':'w','conditions':[{'table':'t','key':'a/b','version':0}],"
                                + "'puts':[{'table':'t','key':'other','value':'x'}]}");

        assertThat(response.status(), is(409));
        JsonNode conflict = response.json().path("conflicts").get(0);
        assertThat(conflict.path("version").asLong(), is(version));
        assertThat(conflict.path("writer").asText(), is("stand-in"));
        assertThat(tables.value("t", "other").isEmpty(), is(true));
    }

    @Test
    void readsAreStaleWhileHeldButConditionsAreNot() throws Exception {
        TableServiceStandIn tables = mEnvironment.tableService();
        long old = tables.put("t", "a/b", "old");
        tables.serveStaleReads();
        long current = tables.put("t", "a/b", "new");

        JsonNode row = mClient.get(tables, "/tables/t/rows/a%2Fb").json();
        assertThat(row.path("value").asText(), is("old"));
        assertThat(conditional(tables, old), is(409));
        assertThat(conditional(tables, current), is(200));
        tables.serveCurrentReads();
        JsonNode rows = mClient.get(tables, "/tables/t/rows?prefix=a&after=" + old).json();
        assertThat(rows.path("rows").findValuesAsText("value"), contains("new"));
    }

    @Test
    void anObjectThatExistsIsNotReplaced() throws Exception {
        ObjectStoreStandIn store = mEnvironment.objectStore();
        assertThat(putOnce(store, "first"), is(201));
        assertThat(putOnce(store, "second"), is(412));
        assertThat(mClient.get(store, "/objects/a/1").body(), is("first"));
        JsonNode names = mClient.get(store, "/objects?prefix=a/").json().path("names");
        assertThat(names.get(0).asText(), is("a/1"));
    }

    @Test
    void aSecondReportWithOtherFiguresIsAContradiction() throws Exception {
        UsageStandIn usage = mEnvironment.usage();
        assertThat(mClient.call(usage, "PUT", "/usage-reports/w1", "a").status(), is(201));
        assertThat(mClient.call(usage, "PUT", "/usage-reports/w1", "a").status(), is(200));
        assertThat(usage.conflictingWindows(), is(empty()));
        assertThat(mClient.call(usage, "PUT", "/usage-reports/w1", "b").status(), is(409));
        assertThat(usage.conflictingWindows(), contains("w1"));
    }

    @Test
    void theWeightStoreLimitsTheRequestsOfAWindow() throws Exception {
        WeightStoreStandIn store = mEnvironment.weightStore();
        store.publish("small", 3);
        assertThat(mClient.get(store, "/weights/small").json().path("latest").asInt(), is(3));
        assertThat(mClient.get(store, "/weights/small").status(), is(429));
        mTime.advance(Duration.ofSeconds(1));
        assertThat(mClient.get(store, "/weights/small").status(), is(200));
    }

    @Test
    void aNameIsUsedOnceAndARepeatedOrderIsAccepted() throws Exception {
        OrderingStandIn ordering = mEnvironment.ordering();
        assertThat(order(ordering, "o-1", "start"), is(202));
        assertThat(order(ordering, "o-1", "start"), is(202));
        assertThat(order(ordering, "o-2", "stop"), is(202));
        assertThat(order(ordering, "o-3", "start"), is(409));
        assertThat(ordering.stateOf("u-1"), is("stopped"));
        assertThat(ordering.received(), hasSize(4));
        List<String> senders =
                ordering.received().stream().map(ReceivedOrder::sender).distinct().toList();
        assertThat(senders, contains("node-1"));
    }

    @Test
    void dropsAConnectionWhoseRequestDoesNotArrive() throws Exception {
        Duration timeout = Duration.ofMillis(20);
        try (OrderingStandIn ordering =
                        new OrderingStandIn(timeout, Duration.ZERO, UpstreamStarter.NONE);
                Socket paused = new Socket(StandInServer.HOST, ordering.port())) {
            paused.getOutputStream().write("POST /orders HTTP/1.1\r\n".getBytes());
            // Without the timeout this read would block forever.
            assertThat(paused.getInputStream().read(), is(-1));
            assertThat(ordering.received(), is(empty()));
        }
    }

    private int order(OrderingStandIn ordering, String order, String action) throws Exception {
        String body =
                "{\"order\":\"%s\",\"action\":\"%s\",\"upstream\":\"u-1\",\"pool\":\"p\"}"
                        .formatted(order, action);
        return mClient.call(ordering, "POST", "/orders", body, "User-Agent", "node-1").status();
    }

    private int putOnce(ObjectStoreStandIn store, String body) throws Exception {
        return mClient.call(store, "PUT", "/objects/a/1", body, "If-None-Match", "*").status();
    }

    private int conditional(TableServiceStandIn tables, long version) throws Exception {
        return mClient.post(
                        tables,
                        "/tables/commit",
                        "{'writer':'w','conditions':[{'table':'t','key':'a/b','version':%d}]}"
                                .formatted(version))
                .status();
    }
}
