package org.fuchsialever.node.exchange;

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
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.node.NodeProcess;
import org.fuchsialever.node.config.ConfigRows;
import org.fuchsialever.node.keys.KeyRows;
import org.fuchsialever.node.keys.RunningCalls;
import org.fuchsialever.node.peers.PeerMessages;
import org.fuchsialever.platform.FreePorts;
import org.fuchsialever.standins.FaultMode;
import org.fuchsialever.standins.InstanceListStandIn;
import org.fuchsialever.standins.ListedInstanceEntry;
import org.fuchsialever.standins.TableServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that two instances exchange state while the table service is unavailable. */
class ExchangeNodeTest {
    /** Ends a hanging test; no assertion depends on its value. */
    private static final long TIMEOUT_SECONDS = 30;

    private static final String SECRET = "00112233445566778899aabbccddeeff";
    private static final KeyId KEY = new KeyId("a");

    private final Closer mCloser = new Closer();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private TableServiceStandIn mTables;
    private InstanceListStandIn mInstances;

    @BeforeEach
    void startStandIns() {
        mTables = mCloser.register("tables", new TableServiceStandIn());
        mInstances = mCloser.register("instances", new InstanceListStandIn(Duration.ZERO));
        KeyRecord key =
                new KeyRecord(KEY, new TeamName("alba"), KeyHash.of("5a17", SECRET), 0, false);
        mTables.put(KeyRows.TABLE, KEY.value(), key.encode());
        String routes = "[team alba]\n[route r]\npath = /r\nkind = plain\npool = p\nteams = alba\n";
        String pools =
                """
                [pool p]
                kind = plain
                [upstream u1]
                pool = p
                address = 127.0.0.1
                port = 9
                failure-domain = fd-1
                """;
        mTables.put(
                ConfigRows.TABLE,
                ConfigRows.snapshotKey(1),
                new SnapshotText(1, routes, pools).encode());
        mTables.put(ConfigRows.TABLE, ConfigRows.CURRENT, "1");
    }

    @AfterEach
    void stopAll() {
        mCloser.close();
    }

    /** Guards against withdrawals that are delayed until the table service is available again. */
    @Test
    void passesAWithdrawalToTheOtherInstanceWhileTheTableServiceIsDown() throws Exception {
        NodeProcess first = startReady("n1");
        NodeProcess second = startReady("n2");
        awaitMember(first, "n2");
        awaitMember(second, "n1");
        CountDownLatch ended = new CountDownLatch(1);
        second.service(RunningCalls.class).register(KEY, ended::countDown);
        mTables.faults().set(FaultMode.DOWN);

        post(first, "/operator/withdrawals", "{\"key\":\"a\"}");

        assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        assertThat(post(second, "/r", "{}").body(), containsString("key-withdrawn"));
    }

    private void awaitMember(NodeProcess node, String name) throws InterruptedException {
        PeerMessages peers = node.service(PeerMessages.class);
        CountDownLatch heartbeatReceived = new CountDownLatch(1);
        peers.subscribe(
                org.fuchsialever.decisions.membership.PeerMessage.Heartbeat.class,
                (sender, message) -> {
                    if (sender.equals(new InstanceId(name))) {
                        heartbeatReceived.countDown();
                    }
                });
        assertThat(heartbeatReceived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    private NodeProcess startReady(String name) throws Exception {
        int httpPort = FreePorts.next();
        int peerPort = FreePorts.next();
        mInstances.put(
                new ListedInstanceEntry(
                        name, "127.0.0.1", httpPort, peerPort, "r1", "fd-1", false));
        String settings =
                """
                [node]
                name = %s
                region = r1
                failure-domain = fd-1
                http-address = 127.0.0.1
                http-port = %d
                peer-address = 127.0.0.1
                peer-port = %d
                components = identity, platform, config, keys, peers, exchange, dispatch, \
                readiness, endpoints, front-end
                [platform]
                table-service = %s
                instance-list = %s
                """
                        .formatted(name, httpPort, peerPort, mTables.url(), mInstances.url());
        NodeProcess node =
                NodeProcess.start("node.ini", settings)
                        .getOrElseThrow(findings -> new AssertionError(findings.report()));
        mCloser.register(name, node);
        awaitStatus(node, "\"ready\":true");
        return node;
    }

    /** Polls the status until it contains a text; the timeout only ends a hanging test. */
    private void awaitStatus(NodeProcess node, String expected) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        String body = "";
        while (!body.contains(expected) && System.nanoTime() < end) {
            HttpRequest request = HttpRequest.newBuilder(uri(node, "/operator/status")).build();
            body = mClient.send(request, HttpResponse.BodyHandlers.ofString()).body();
        }
        assertThat(body, containsString(expected));
    }

    private HttpResponse<String> post(NodeProcess node, String path, String body) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(uri(node, path))
                        .header("Authorization", "Bearer fl_a_" + SECRET)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static URI uri(NodeProcess node, String path) {
        int port = node.service(HttpFrontEnd.class).port();
        return URI.create("http://127.0.0.1:" + port + path);
    }
}
