package org.fuchsialever.services.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.findings.Finding;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.IniDocument;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.UpstreamOrder;
import org.fuchsialever.services.UpstreamOrderResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

/**
 * Guards against a lost response that is reported as having had no effect, against orders sent by a
 * previous role holder, and against requests that differ from the published protocols.
 */
class HttpPlatformAdapterTest {
    /** Ends a hanging test; no assertion depends on it. */
    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(20);

    private static final Commit COMMIT =
            new Commit(
                    "w1",
                    List.of(new Commit.Condition("config", "current", 3)),
                    List.of(new Commit.Put("config", "current", "v")),
                    List.of(new Commit.Delete("config", "old")));
    private static final UpstreamOrder ORDER =
            new UpstreamOrder(
                    "o-1",
                    UpstreamOrder.Action.START,
                    new UpstreamId("e-1"),
                    new PoolName("small"),
                    new FailureDomain("fd-1"),
                    CapacityKind.CHEAP);

    private final Closer mCloser = new Closer();
    private final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
    private final Findings mFindings = new Findings();

    @AfterEach
    void closeConnections() {
        mCloser.close();
    }

    @Test
    void commitsInTheFormOfTheTableService() {
        PlatformServer server = server(200, "{\"version\":7}");

        CommitResult result = platform(server.url()).tables().commit(COMMIT).block(TEST_TIMEOUT);

        assertThat(result, is(new CommitResult.Committed(7)));
        assertThat(
                server.mRequests,
                contains(
                        "POST /tables/commit {\"writer\":\"w1\",\"conditions\":[{\"table\":"
                                + "\"config\",\"key\":\"current\",\"version\":3}],\"puts\":"
                                + "[{\"table\":\"config\",\"key\":\"current\",\"value\":\"v\"}],"
                                + "\"deletes\":[{\"table\":\"config\",\"key\":\"old\"}]}"));
    }

    @Test
    void returnsTheRowsOfAConflict() {
        PlatformServer server =
                server(
                        409,
                        "{\"conflicts\":[{\"table\":\"config\",\"key\":\"current\","
                                + "\"version\":4,\"value\":\"x\",\"writer\":\"w0\"}]}");

        CommitResult result = platform(server.url()).tables().commit(COMMIT).block(TEST_TIMEOUT);

        Row row = new Row("config", "current", 4, "x", "w0");
        assertThat(result, equalTo(new CommitResult.Conflict(List.of(row))));
    }

    @Test
    void encodesKeysInPaths() {
        PlatformServer server = server(404, "{}");

        Platform platform = platform(server.url());
        assertThat(
                platform.tables()
                        .read("config", "snapshot/1 %")
                        .blockOptional(TEST_TIMEOUT)
                        .orElseThrow()
                        .isEmpty(),
                is(true));
        assertThat(
                server.mRequests.get(0), startsWith("GET /tables/config/rows/snapshot%2F1%20%25"));
    }

    @Test
    void reportsALostResponseOfACommitAsUnknownAndSendsItOnce() {
        PlatformServer server = server(PlatformServer.DROP, "");

        PlatformException failure = failure(platform(server.url()).tables().commit(COMMIT));

        assertThat(failure.effect(), is(Effect.UNKNOWN));
        assertThat(server.mRequests.size(), is(1));
        assertThat(failures("table-service", "connection-lost"), is(1.0));
    }

    @Test
    void reportsACommitWithoutAResponseAsUnknown() {
        PlatformServer server = server(PlatformServer.SILENT, "");

        Platform platform =
                platformOf("table-service = " + server.url() + "\nrequest-timeout = 2 s");
        PlatformException failure = failure(platform.tables().commit(COMMIT));

        assertThat(failure.effect(), is(Effect.UNKNOWN));
        assertThat(failures("table-service", "timeout"), is(1.0));
    }

    @Test
    void reportsARefusedConnectionAsWithoutEffect() {
        PlatformServer server = server(200, "");
        server.close();

        PlatformException failure = failure(platform(server.url()).tables().commit(COMMIT));

        assertThat(failure.effect(), is(Effect.NONE));
        assertThat(failures("table-service", "not-written"), is(1.0));
    }

    @Test
    void treatsAServerErrorAsUnknownAndARefusalAsNoEffect() {
        assertThat(
                failure(platform(server(503, "{}").url()).tables().commit(COMMIT)).effect(),
                is(Effect.UNKNOWN));
        assertThat(
                failure(platform(server(400, "{}").url()).tables().commit(COMMIT)).effect(),
                is(Effect.NONE));
    }

    @Test
    void treatsAMalformedResponseOfACommitAsUnknown() {
        PlatformException failure =
                failure(platform(server(200, "{\"version\"").url()).tables().commit(COMMIT));

        assertThat(failure.effect(), is(Effect.UNKNOWN));
        assertThat(failures("table-service", "unexpected-answer"), is(1.0));
    }

    @Test
    void sendsNoOrderForAPreviousHolder() {
        PlatformServer server = server(202, "");

        PlatformException failure =
                failure(platform(server.url()).ordering().send(ORDER, () -> false));

        assertThat(failure.effect(), is(Effect.NONE));
        assertThat(server.mRequests, is(empty()));
        assertThat(failures("ordering", "not-holding"), is(1.0));
    }

    @Test
    void checksWhetherTheRoleIsHeldOnlyWhenTheConnectionIsOpen() {
        PlatformServer server = server(202, "");
        server.close();
        AtomicInteger asked = new AtomicInteger();

        failure(platform(server.url()).ordering().send(ORDER, () -> asked.incrementAndGet() > 0));

        assertThat(asked.get(), is(0));
    }

    @Test
    void sendsEachOrderOnAConnectionOfItsOwn() {
        PlatformServer server = server(202, "");
        Platform platform = platform(server.url());

        for (int i = 0; i < 3; i++) {
            UpstreamOrderResult result =
                    platform.ordering().send(ORDER, () -> true).block(TEST_TIMEOUT);
            assertThat(result, is(UpstreamOrderResult.ACCEPTED));
        }

        assertThat(server.mConnections.get(), is(3));
        assertThat(
                server.mRequests.get(0),
                is(
                        "POST /orders {\"order\":\"o-1\",\"action\":\"start\",\"upstream\":\"e-1\","
                                + "\"pool\":\"small\",\"failure_domain\":\"fd-1\","
                                + "\"kind\":\"cheap\"}"));
    }

    @Test
    void distinguishesMissingCapacityFromAFailureOfTheOrderingInterface() {
        Platform full =
                platform(server(503, "{\"error\":{\"code\":\"capacity_unavailable\"}}").url());
        Platform broken = platform(server(503, "{}").url());

        assertThat(
                full.ordering().send(ORDER, () -> true).block(TEST_TIMEOUT),
                is(UpstreamOrderResult.CAPACITY_UNAVAILABLE));
        assertThat(failure(broken.ordering().send(ORDER, () -> true)).effect(), is(Effect.UNKNOWN));
    }

    @Test
    void distinguishesAnAcceptedUsageReportFromOneWithDifferentTotals() {
        byte[] report = "{}".getBytes(StandardCharsets.UTF_8);

        assertThat(usage(201, report), is(true));
        assertThat(usage(200, report), is(true));
        assertThat(usage(409, report), is(false));
    }

    @Test
    void failsCallsOfAnInterfaceWithoutAnAddress() {
        PlatformException failure =
                failure(platformOf("table-service = http://127.0.0.1:1").instances().list());

        assertThat(failure.effect(), is(Effect.NONE));
        assertThat(failure.getMessage(), containsString("no address"));
    }

    @Test
    void refusesSettingsThatAreNoBaseUrl() {
        platformOf("table-service = 127.0.0.1:99\nrequest-timeout = 0 ms");

        assertThat(
                mFindings.list().stream().map(Finding::messageKey).toList(),
                contains("platform.bad-url", "platform.bad-timeout"));
    }

    private boolean usage(int status, byte[] report) {
        return platform(server(status, "").url())
                .usageReports()
                .report("w/1", report, () -> true)
                .blockOptional(TEST_TIMEOUT)
                .orElseThrow();
    }

    private double failures(String service, String reason) {
        return mMeters.counter(
                        "fuchsialever.platform.failures", "service", service, "reason", reason)
                .count();
    }

    private PlatformServer server(int status, String responseBody) {
        return mCloser.register("server", new PlatformServer(status, responseBody));
    }

    private Platform platform(String url) {
        return platformOf(
                "table-service = %1$s\nordering = %1$s\nusage = %1$s\nrequest-timeout = 15 s"
                        .formatted(url));
    }

    private Platform platformOf(String lines) {
        IniDocument document = IniDocument.parse("node.ini", "[platform]\n" + lines, mFindings);
        SettingsReader settings = new SettingsReader(document, mFindings);
        HttpPlatformAdapter adapter = new HttpPlatformAdapter();
        adapter.configure(settings);
        return adapter.open(
                new ComponentContext(settings, mCloser, SystemTimeSource.INSTANCE, 1, mMeters));
    }

    private static PlatformException failure(Mono<?> call) {
        return assertThrows(PlatformException.class, () -> call.block(TEST_TIMEOUT));
    }
}
