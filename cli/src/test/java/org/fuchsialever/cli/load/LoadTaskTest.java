package org.fuchsialever.cli.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.cli.Main;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.junit.jupiter.api.Test;

/** Guards against a load that loses calls or compares unlike loads. */
class LoadTaskTest {
    private static final int RATE = 60;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @Test
    void sendsEveryPlannedCallThroughTheInstanceAndDirectly() throws Exception {
        ExitCode exit =
                run(
                        "load --compare-direct --json --seconds 1 --phase-seconds 1"
                                + " --warm-up-seconds 0 --seed 7 --rate "
                                + RATE);

        assertThat(mErr.toString(), exit, is(ExitCode.OK));
        JsonNode body = new ObjectMapper().readTree(mOut.toString());
        int planned =
                LoadPlan.of(
                                7,
                                RATE,
                                Duration.ofSeconds(1),
                                CallMix.parse(body.path("mix").asText()))
                        .calls()
                        .size();
        assertThat(mOut.toString(), body.at("/instance/answers/200").asInt(), is(planned));
        assertThat(mOut.toString(), body.at("/direct/answers/200").asInt(), is(planned));
        assertThat(body.at("/added_ms/total_p99").isNumber(), is(true));
    }

    @Test
    void failsIfNoCallSucceeds() {
        // Nothing listens on port 1.
        assertThat(
                run("load --url http://127.0.0.1:1 --seconds 1 --warm-up-seconds 0 --rate 20"),
                is(ExitCode.FAILURE));
        assertThat(mOut.toString(), containsString("failed "));
    }

    @Test
    void needsAnInstance() {
        assertThat(run("load"), is(ExitCode.USAGE));
        assertThat(mErr.toString(), containsString("--url"));
    }

    private ExitCode run(String line) {
        return Main.run(
                line.split(" "),
                new CommandContext(
                        new PrintStream(mOut), new PrintStream(mErr), new CountDownLatch(1)));
    }
}
