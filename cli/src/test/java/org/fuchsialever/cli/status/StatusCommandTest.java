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
    @TempDir Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final TableServiceStandIn tables = new TableServiceStandIn();
    private final InstanceListStandIn instances = new InstanceListStandIn(Duration.ZERO);

    @BeforeEach
    void writeSettings() throws IOException {
        Files.writeString(
                folder.resolve("node.ini"),
                "[platform]\ntable-service = %s\ninstance-list = %s\n"
                        .formatted(tables.url(), instances.url()));
    }

    @AfterEach
    void stopStandIns() {
        tables.close();
        instances.close();
    }

    @Test
    void failsAndNamesAnInstanceThatDoesNotAnswer() {
        instances.put(new ListedInstanceEntry("n1", "127.0.0.1", 1, 2, "r1", "fd-1", false));

        assertThat(run(), is(ExitCode.FAILURE));
        assertThat(out.toString(), containsString("n1  fd-1  no answer"));
    }

    @Test
    void failsWhenTheListCannotBeRead() {
        instances.faults().set(FaultMode.DOWN);

        assertThat(run(), is(ExitCode.FAILURE));
        assertThat(err.toString(), containsString("cannot be read"));
    }

    private ExitCode run() {
        CommandContext context =
                new CommandContext(
                        new PrintStream(out, true),
                        new PrintStream(err, true),
                        new CountDownLatch(1));
        String settings = folder.resolve("node.ini").toString();
        return Main.run(new String[] {"status", "--settings", settings}, context);
    }
}
