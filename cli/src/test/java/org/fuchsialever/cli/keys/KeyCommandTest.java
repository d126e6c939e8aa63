package org.fuchsialever.cli.keys;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.cli.Main;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyTable;
import org.fuchsialever.decisions.keys.PresentedKey;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.node.NodeProcess;
import org.fuchsialever.node.keys.KeyRows;
import org.fuchsialever.standins.FaultMode;
import org.fuchsialever.standins.InstanceListStandIn;
import org.fuchsialever.standins.ListedInstanceEntry;
import org.fuchsialever.standins.TableServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against stored secrets of keys, and withdrawals that do not reach the instances. */
class KeyCommandTest {
    @TempDir Path mFolder;

    private final Closer mCloser = new Closer();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private TableServiceStandIn mTables;
    private InstanceListStandIn mInstances;

    @BeforeEach
    void startStandIns() throws IOException {
        mTables = mCloser.register("tables", new TableServiceStandIn());
        mInstances = mCloser.register("instances", new InstanceListStandIn(Duration.ZERO));
        Files.writeString(mFolder.resolve("node.ini"), platform());
    }

    @AfterEach
    void stopAll() {
        mCloser.close();
    }

    @Test
    void grantPrintsAValidKeyAndStoresNoSecret() {
        PresentedKey key = grant();
        KeyRecord stored = stored(key);

        assertThat(stored.encode(), not(containsString(key.secret())));
        KeyTable table = new KeyTable(List.of(stored), java.util.Set.of());
        assertThat(table.check(key.text(), 0).get().team(), is(new TeamName("alba")));
    }

    @Test
    void listShowsNeitherHashNorSecret() {
        PresentedKey key = grant();
        mOut.reset();

        assertThat(run("list"), is(ExitCode.OK));
        assertThat(mOut.toString(), containsString(key.id() + "  team alba  does not expire"));
        assertThat(mOut.toString(), not(containsString(stored(key).hash().hash())));
    }

    @Test
    void withdrawMarksTheKeyAtTheTableService() {
        PresentedKey key = grant();

        assertThat(run("withdraw", key.id().value()), is(ExitCode.OK));
        assertThat(stored(key).withdrawn(), is(true));
    }

    @Test
    void withdrawNamesInstancesThatDoNotConfirm() {
        PresentedKey key = grant();
        list("n1", 1);

        assertThat(run("withdraw", key.id().value()), is(ExitCode.UNCONFIRMED));
        assertThat(mErr.toString(), containsString("Not confirmed by: n1"));
        assertThat(stored(key).withdrawn(), is(true));
    }

    @Test
    void withdrawReachesTheInstancesWhileTheTableServiceIsDown() {
        PresentedKey key = grant();
        NodeProcess node = startNode();
        list("n1", node.service(HttpFrontEnd.class).port());
        mTables.faults().set(FaultMode.DOWN);

        assertThat(run("withdraw", key.id().value()), is(ExitCode.OK));
        assertThat(mOut.toString(), containsString("Confirmed by: n1"));
        assertThat(mErr.toString(), containsString("has not stored the withdrawal yet"));
    }

    @Test
    void withdrawFailsWhenNothingCanBeReached() {
        mTables.faults().set(FaultMode.DOWN);

        assertThat(run("withdraw", "a"), is(ExitCode.FAILURE));
    }

    @Test
    void refusesAnUnknownOperation() {
        assertThat(run("revoke", "a"), is(ExitCode.USAGE));
    }

    private PresentedKey grant() {
        assertThat(run("grant", "--team", "alba"), is(ExitCode.OK));
        return PresentedKey.parse(mOut.toString().strip()).get();
    }

    private KeyRecord stored(PresentedKey key) {
        String value = mTables.value(KeyRows.TABLE, key.id().value()).get();
        return KeyRecord.decode(key.id().value(), value).get();
    }

    private void list(String name, int port) {
        mInstances.put(new ListedInstanceEntry(name, "127.0.0.1", port, 1, "r1", "fd-1", false));
    }

    private NodeProcess startNode() {
        String settings =
                """
                [node]
                name = n1
                region = r1
                failure-domain = fd-1
                http-address = 127.0.0.1
                components = identity, platform, config, keys, dispatch, readiness, \
                endpoints, front-end
                """
                        + platform();
        return mCloser.register(
                "node",
                NodeProcess.start("node.ini", settings)
                        .getOrElseThrow(findings -> new AssertionError(findings.report())));
    }

    private String platform() {
        return "[platform]\ntable-service = %s\ninstance-list = %s\n"
                .formatted(mTables.url(), mInstances.url());
    }

    private ExitCode run(String... words) {
        List<String> arguments = new ArrayList<>(List.of("key"));
        arguments.addAll(List.of(words));
        arguments.addAll(List.of("--settings", mFolder.resolve("node.ini").toString()));
        return Main.run(
                arguments.toArray(String[]::new),
                new CommandContext(
                        new PrintStream(mOut), new PrintStream(mErr), new CountDownLatch(1)));
    }
}
