package org.fuchsialever.cli.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.cli.Main;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.node.NodeProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against generated files from which an instance cannot start. */
class StandInsTaskTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private final CountDownLatch mStop = new CountDownLatch(1);

    @TempDir Path mFolder;

    @Test
    void writesFilesFromWhichAnInstanceStarts() throws Exception {
        mStop.countDown();
        assertThat(run("stand-ins", "--folder", mFolder.toString(), "--json"), is(ExitCode.OK));

        String settings = Files.readString(mFolder.resolve("node-1.ini"));
        // Port 0 selects a free port; the generated fixed ports may be in use.
        settings = settings.replaceAll("(http|peer)-port = \\d+", "$1-port = 0");
        NodeProcess.start("node-1.ini", settings)
                .getOrElseThrow(findings -> new AssertionError(findings.report()))
                .close();
        assertThat(mOut.toString(), containsString("\"table-service\":\"http://127.0.0.1:"));
    }

    @Test
    void helpListsOptionsAndExitCodes() {
        assertThat(run("stand-ins", "--help"), is(ExitCode.OK));
        assertThat(mOut.toString(), containsString("--folder"));
        assertThat(mOut.toString(), containsString("2  options or files cannot be used"));
    }

    @Test
    void anUnknownOptionIsAUsageError() {
        assertThat(run("stand-ins", "--no-such-option"), is(ExitCode.USAGE));
        assertThat(mErr.toString(), containsString("--no-such-option"));
    }

    private ExitCode run(String... arguments) {
        return Main.run(
                arguments, new CommandContext(new PrintStream(mOut), new PrintStream(mErr), mStop));
    }
}
