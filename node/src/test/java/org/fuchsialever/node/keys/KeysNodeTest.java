package org.fuchsialever.node.keys;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.config.SnapshotText;
import org.fuchsialever.decisions.keys.KeyHash;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.node.NodeProcess;
import org.fuchsialever.node.config.ConfigHolder;
import org.fuchsialever.node.config.ConfigRows;
import org.fuchsialever.standins.EngineStandIn;
import org.fuchsialever.standins.FaultMode;
import org.fuchsialever.standins.InstanceListStandIn;
import org.fuchsialever.standins.ListedInstanceEntry;
import org.fuchsialever.standins.TableServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests instances with configuration and keys from the table service, over real sockets. */
class KeysNodeTest {
    /** Only ends a test that hangs; no assertion depends on its length. */
    private static final long TIMEOUT_SECONDS = 30;

    private static final String SECRET = "00112233445566778899aabbccddeeff";
    private static final KeyId KEY = new KeyId("a");

    private final Closer mCloser = new Closer();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private TableServiceStandIn mTables;
    private InstanceListStandIn mInstances;
    private EngineStandIn mEngine;

    @BeforeEach
    void startStandIns() {
        mTables = mCloser.register("tables", new TableServiceStandIn());
        mInstances = mCloser.register("instances", new InstanceListStandIn(Duration.ZERO));
        mEngine =
                mCloser.register(
                        "engine", new EngineStandIn("engine-start-1", Duration.ofMillis(1)));
        KeyRecord key =
                new KeyRecord(KEY, new TeamName("alba"), KeyHash.of("5a17", SECRET), 0, false);
        mTables.put(KeyRows.TABLE, KEY.value(), key.encode());
        apply(1, "");
    }

    @AfterEach
    void stopAll() {
        mCloser.close();
    }

    @Test
    void servesKeyedRoutesOnlyWithAKeyOfAnAllowedTeam() throws Exception {
        NodeProcess node = startReady("n1");

        assertThat(call(node, "fl_a_" + SECRET).statusCode(), is(200));
        assertThat(
                call(node, "fl_a_" + SECRET.replace('f', 'e')).body(), containsString("key-wrong"));
    }

    @Test
    void refusesAKeyAndEndsItsCallsWhenTheWithdrawalWasConfirmed() throws Exception {
        NodeProcess node = startReady("n1");
        CountDownLatch ended = new CountDownLatch(1);
        node.service(RunningCalls.class).register(KEY, ended::countDown);

        HttpResponse<String> response = post(node, "/operator/withdrawals", "", "{\"key\":\"a\"}");

        assertThat(response.body(), is("{\"instance\":\"n1\",\"key\":\"a\",\"withdrawn\":true}"));
        assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        HttpResponse<String> refused = call(node, "fl_a_" + SECRET);
        assertThat(refused.statusCode(), is(401));
        assertThat(refused.body(), containsString("key-withdrawn"));
    }

    @Test
    void refusesAMalformedWithdrawal() throws Exception {
        NodeProcess node = startReady("n1");

        assertThat(
                post(node, "/operator/withdrawals", "", "{\"key\":\"a b\"}").statusCode(), is(400));
    }

    @Test
    void followsANewVersion() throws Exception {
        NodeProcess node = startReady("n1");
        CountDownLatch newer = new CountDownLatch(1);
        node.service(ConfigHolder.class)
                .addListener(
                        snapshot -> {
                            if (snapshot.version() == 2) {
                                newer.countDown();
                            }
                        });
        apply(2, "");

        assertThat(newer.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    @Test
    void startsFromAPeerWhileTheTableServiceIsDown() throws Exception {
        NodeProcess first = startReady("n1");
        mInstances.put(
                new ListedInstanceEntry(
                        "n1",
                        "127.0.0.1",
                        first.service(HttpFrontEnd.class).port(),
                        1,
                        "r1",
                        "fd-1",
                        false));
        mTables.faults().set(FaultMode.DOWN);

        NodeProcess second = start("n2");
        awaitStatus(second, "\"config_version\":1");
        awaitStatus(second, "\"config_freshness\":\"from-peers\"");
        awaitStatus(second, "\"key_version\":1");
    }

    private NodeProcess startReady(String name) throws Exception {
        NodeProcess node = start(name);
        awaitStatus(node, "\"ready\":true");
        return node;
    }

    private NodeProcess start(String name) {
        String settings =
                """
                [node]
                name = %s
                region = r1
                failure-domain = fd-1
                http-address = 127.0.0.1
                components = identity, platform, config, keys, dispatch, readiness, \
                endpoints, front-end
                [platform]
                table-service = %s
                instance-list = %s
                """
                        .formatted(name, mTables.url(), mInstances.url());
        NodeProcess node =
                NodeProcess.start("node.ini", settings)
                        .getOrElseThrow(findings -> new AssertionError(findings.report()));
        return mCloser.register(name, node);
    }

    /** Polls the status until it contains the expected text or the timeout ends the test. */
    private void awaitStatus(NodeProcess node, String expected) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        String body = "";
        while (!body.contains(expected) && System.nanoTime() < end) {
            HttpRequest request = HttpRequest.newBuilder(uri(node, "/operator/status")).build();
            body = mClient.send(request, HttpResponse.BodyHandlers.ofString()).body();
        }
        assertThat(body, containsString(expected));
    }

    private void apply(long version, String extraRoutes) {
        String routes =
                """
                [team alba]
                [route chat]
                path = /v1/completions
                kind = live
                pool = small
                teams = alba
                """;
        String pools =
                """
                [pool small]
                kind = engine
                model = small
                [upstream engine-1]
                pool = small
                address = 127.0.0.1
                port = %d
                failure-domain = fd-1
                """
                        .formatted(mEngine.port());
        mTables.put(
                ConfigRows.TABLE,
                ConfigRows.snapshotKey(version),
                new SnapshotText(version, routes + extraRoutes, pools).encode());
        mTables.put(ConfigRows.TABLE, ConfigRows.CURRENT, Long.toString(version));
    }

    private HttpResponse<String> call(NodeProcess node, String key) throws Exception {
        return post(node, "/v1/completions", key, "{\"prompt\":\"p\",\"max_tokens\":3}");
    }

    private HttpResponse<String> post(NodeProcess node, String path, String key, String body)
            throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(uri(node, path))
                        .header("Content-Type", "application/json")
                        .header("Authorization", "Bearer " + key)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static URI uri(NodeProcess node, String path) {
        int port = node.service(HttpFrontEnd.class).port();
        return URI.create("http://127.0.0.1:" + port + path);
    }
}
