package org.fuchsialever.cli.status;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.cli.Main;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.standins.FaultMode;
import org.fuchsialever.standins.InstanceListStandIn;
import org.fuchsialever.standins.ListedInstanceEntry;
import org.fuchsialever.standins.TableServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a status that reports unresponsive instances as ready. */
class StatusCommandTest {
    @TempDir Path mFolder;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private final TableServiceStandIn mTables = new TableServiceStandIn();
    private final InstanceListStandIn mInstances = new InstanceListStandIn(Duration.ZERO);

    @BeforeEach
    void writeSettings() throws IOException {
        Files.writeString(
                mFolder.resolve("node.ini"),
                "[platform]\ntable-service = %s\ninstance-list = %s\n"
                        .formatted(mTables.url(), mInstances.url()));
    }

    @AfterEach
    void stopStandIns() {
        mTables.close();
        mInstances.close();
    }

    @Test
    void failsAndNamesAnInstanceThatDoesNotAnswer() {
        mInstances.put(new ListedInstanceEntry("n1", "127.0.0.1", 1, 2, "r1", "fd-1", false));

        assertThat(run(), is(ExitCode.FAILURE));
        assertThat(mOut.toString(), containsString("n1  fd-1  no answer"));
    }

    @Test
    void failsWhenTheListCannotBeRead() {
        mInstances.faults().set(FaultMode.DOWN);

        assertThat(run(), is(ExitCode.FAILURE));
        assertThat(mErr.toString(), containsString("cannot be read"));
    }

    private ExitCode run() {
        CommandContext context =
                new CommandContext(
                        new PrintStream(mOut, true),
                        new PrintStream(mErr, true),
                        new CountDownLatch(1));
        String settings = mFolder.resolve("node.ini").toString();
        return Main.run(new String[] {"status", "--settings", settings}, context);
    }
}
