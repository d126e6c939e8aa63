package org.fuchsialever.cli.tables;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

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
import org.fuchsialever.decisions.config.SnapshotText;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.node.config.ConfigRows;
import org.fuchsialever.standins.FaultMode;
import org.fuchsialever.standins.InstanceListStandIn;
import org.fuchsialever.standins.ListedInstanceEntry;
import org.fuchsialever.standins.TableServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against tables that are applied twice, with errors, or over another operator's change. */
class TableCommandTest {
    private static final String ROUTES =
            "[route chat]\npath = /chat\npool = small\naccess = open\ndeadline = 5 s\n";
    private static final String POOLS =
            """
            [pool small]
            [upstream e1]
            pool = small
            address = 127.0.0.1
            port = 9001
            failure-domain = fd-1
            """;

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
        Files.writeString(
                mFolder.resolve("node.ini"),
                "[platform]\ntable-service = %s\ninstance-list = %s\n"
                        .formatted(mTables.url(), mInstances.url()));
        write(ROUTES);
    }

    @AfterEach
    void stopStandIns() {
        mCloser.close();
    }

    @Test
    void checkPrintsAllFindings() throws IOException {
        write(ROUTES + "colour = red\n");

        assertThat(run("check"), is(ExitCode.USAGE));
        assertThat(mErr.toString(), containsString("routes.ini:6: route chat/colour"));
    }

    @Test
    void applyStoresTheTablesUnderTheNextVersion() {
        assertThat(apply(0), is(ExitCode.OK));
        assertThat(apply(1), is(ExitCode.OK));

        assertThat(mTables.value(ConfigRows.TABLE, ConfigRows.CURRENT).get(), is("2"));
        assertThat(
                SnapshotText.decode(mTables.value(ConfigRows.TABLE, "snapshot/2").get()).get(),
                is(new SnapshotText(2, ROUTES, POOLS)));
    }

    @Test
    void applyStoresNoTablesWithErrors() throws IOException {
        write(ROUTES + "colour = red\n");

        assertThat(apply(0), is(ExitCode.USAGE));
        assertThat(mTables.revision(), is(0L));
    }

    @Test
    void applyTellsTheLaterOfTwoOperatorsWhatChanged() throws IOException {
        apply(0);
        write(ROUTES.replace("5 s", "7 s"));
        assertThat(apply(1), is(ExitCode.OK));
        write(ROUTES.replace("/chat", "/talk"));

        assertThat(apply(1), is(ExitCode.CONFLICT));
        assertThat(mErr.toString(), containsString("routes: [route chat] deadline: 5 s -> 7 s"));
        assertThat(mTables.value(ConfigRows.TABLE, ConfigRows.CURRENT).get(), is("2"));
    }

    @Test
    void applyOverwritesNothingWhenItsReadIsStale() throws IOException {
        apply(0);
        mTables.serveStaleReads();
        mTables.put(ConfigRows.TABLE, "snapshot/2", new SnapshotText(2, ROUTES, POOLS).encode());
        mTables.put(ConfigRows.TABLE, ConfigRows.CURRENT, "2");

        // The rows of the conflict name version 2, but its tables cannot be read yet.
        assertThat(apply(1), is(ExitCode.CONFLICT));
        assertThat(mErr.toString(), containsString("What changed cannot be shown"));
        assertThat(mTables.value(ConfigRows.TABLE, ConfigRows.CURRENT).get(), is("2"));
    }

    @Test
    void applyWritesNothingWhenTheVersionCannotBeRead() {
        mTables.faults().set(FaultMode.FAIL);

        assertThat(apply(0), is(ExitCode.FAILURE));
        assertThat(mTables.revision(), is(0L));
        assertThat(mTables.calls("commit"), is(0L));
    }

    @Test
    void applyNamesInstancesThatDoNotConfirm() {
        mInstances.put(new ListedInstanceEntry("n1", "127.0.0.1", 1, 1, "r1", "fd-1", false));

        assertThat(apply(0), is(ExitCode.UNCONFIRMED));
        assertThat(mErr.toString(), containsString("Not confirmed by: n1"));
    }

    @Test
    void diffShowsTheVersionInForceAndTheDifferences() throws IOException {
        apply(0);
        write(ROUTES.replace("5 s", "7 s"));

        assertThat(run("diff", "--settings", settings()), is(ExitCode.OK));
        assertThat(mOut.toString(), containsString("Version 1 is in force."));
        assertThat(mOut.toString(), containsString("[route chat] deadline: 5 s -> 7 s"));
    }

    private ExitCode apply(long base) {
        return run(
                "apply",
                "--settings",
                settings(),
                "--base-version",
                Long.toString(base),
                "--wait",
                "0");
    }

    private ExitCode run(String... words) {
        List<String> arguments = new ArrayList<>(List.of(words));
        arguments.addAll(
                List.of(
                        "--routes",
                        mFolder.resolve("routes.ini").toString(),
                        "--pools",
                        mFolder.resolve("pools.ini").toString()));
        return Main.run(
                arguments.toArray(String[]::new),
                new CommandContext(
                        new PrintStream(mOut), new PrintStream(mErr), new CountDownLatch(1)));
    }

    private String settings() {
        return mFolder.resolve("node.ini").toString();
    }

    private void write(String routes) throws IOException {
        Files.writeString(mFolder.resolve("routes.ini"), routes);
        Files.writeString(mFolder.resolve("pools.ini"), POOLS);
    }
}
