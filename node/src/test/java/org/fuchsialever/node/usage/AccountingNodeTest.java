package org.fuchsialever.node.usage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fuchsialever.decisions.audit.AuditCheckpoint;
import org.fuchsialever.decisions.audit.AuditVerifier;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.usage.UsageClass;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.frontend.Caller;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.node.NodeProcess;
import org.fuchsialever.node.dispatch.CallObservers;
import org.fuchsialever.node.dispatch.FinishedCall;
import org.fuchsialever.standins.InstanceListStandIn;
import org.fuchsialever.standins.ObjectStoreStandIn;
import org.fuchsialever.standins.TableServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against the loss of usage and audit records in a graceful shutdown. */
class AccountingNodeTest {
    private final Closer mCloser = new Closer();
    private final TableServiceStandIn mTables =
            mCloser.register("tables", new TableServiceStandIn());
    private final ObjectStoreStandIn mObjects =
            mCloser.register("objects", new ObjectStoreStandIn());
    private final InstanceListStandIn mInstances =
            mCloser.register("instances", new InstanceListStandIn(Duration.ZERO));

    @AfterEach
    void stopAll() {
        mCloser.close();
    }

    @Test
    void storesUsageAndAuditRecordsOfACallBeforeItStops() {
        NodeProcess node = startNode();
        node.service(CallObservers.class).callFinished(call());
        node.close();

        Map<String, String> totals = mTables.values(UsageRows.TABLE, "totals/n1/");
        assertThat(totals.values(), hasSize(1));
        String lines = totals.values().iterator().next();
        assertThat(lines, containsString(" alba chat retried 1 10 3\n"));
        assertThat(lines, containsString(" alba chat completed 1 10 100\n"));
        String batch = text(mObjects.names().get(0));
        assertThat(batch, containsString("\"kind\":\"request_ended\""));
        assertThat(batch, containsString("\"upstream\":\"engine-2\",\"attempts\":2,\"key\":\"a\""));
        assertThat(batch, not(containsString("prompt")));
        assertThat(verify(), empty());
    }

    private List<?> verify() {
        Map<String, AuditCheckpoint> index = new TreeMap<>();
        mTables.values("audit", "")
                .forEach(
                        (key, value) ->
                                index.put(
                                        key.substring(key.indexOf('/') + 1),
                                        AuditCheckpoint.parse(value).get()));
        Map<String, SortedMap<Long, byte[]>> batches = new TreeMap<>();
        for (String name : mObjects.names()) {
            String[] parts = name.split("/");
            batches.computeIfAbsent(parts[2] + "/" + parts[3], start -> new TreeMap<>())
                    .put(Long.parseLong(parts[4]), mObjects.object(name).get());
        }
        return AuditVerifier.verify(index, Map.of(), batches);
    }

    private String text(String name) {
        return new String(mObjects.object(name).get(), StandardCharsets.UTF_8);
    }

    private static FinishedCall call() {
        return new FinishedCall(
                new RequestId("r1"),
                new Caller(new TeamName("alba"), Option.some(new KeyId("a"))),
                new RouteName("chat"),
                List.of(
                        new FinishedCall.Attempt(
                                new UpstreamId("engine-1"),
                                UsageClass.RETRIED,
                                new UsageCounts(1, 10, 3)),
                        new FinishedCall.Attempt(
                                new UpstreamId("engine-2"),
                                UsageClass.COMPLETED,
                                new UsageCounts(1, 10, 100))),
                Outcome.COMPLETED,
                Option.none());
    }

    private NodeProcess startNode() {
        String settings =
                """
                [node]
                name = n1
                region = r1
                failure-domain = fd-1
                components = identity, platform, leases, peers, call-observers, audit, usage
                [platform]
                table-service = %s
                object-store = %s
                instance-list = %s
                """
                        .formatted(mTables.url(), mObjects.url(), mInstances.url());
        return mCloser.register(
                "node",
                NodeProcess.start("node.ini", settings)
                        .getOrElseThrow(findings -> new AssertionError(findings.report())));
    }
}
