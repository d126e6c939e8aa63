package org.fuchsialever.cli.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.cli.Main;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.junit.jupiter.api.Test;

/** Guards against violations that need several instances and faults at the same time. */
class SoakRunTest {
    private static final int SEEDS = 8;
    private static final long STEPS = 1_500;

    @Test
    void keepsAllInvariantsOverAFixedSetOfSeedsInWhichEveryFaultOccurs() {
        Map<String, Integer> counts = new HashMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            SoakRun run = SoakRun.of(seed, STEPS);
            assertThat("seed " + seed, run.violation(), is(Option.none()));
            run.counts().forEach((name, count) -> counts.merge(name, count, Integer::sum));
        }
        for (SoakFault fault : SoakFault.values()) {
            assertThat(counts, hasKey("fault." + fault.name().toLowerCase(java.util.Locale.ROOT)));
        }
        assertThat(counts.getOrDefault("answer.completed", 0), greaterThan(1_000));
    }

    @Test
    void givesTheSameResultAgainForTheSameSeed() {
        assertThat(SoakRun.of(5, STEPS), is(SoakRun.of(5, STEPS)));
    }

    @Test
    void isStartedByACommandThatPrintsSeedAndSteps() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true);
        ExitCode exit =
                Main.run(
                        "soak --seed 3 --seeds 2 --steps 100 --json".split(" "),
                        new CommandContext(stream, stream, new CountDownLatch(1)));

        assertThat(out.toString(), exit, is(ExitCode.OK));
        JsonNode body = new ObjectMapper().readTree(out.toString());
        long steps = SoakRun.of(3, 100).steps() + SoakRun.of(4, 100).steps();
        assertThat(body.path("seed").asLong(), is(3L));
        assertThat(body.path("steps").asLong(), is(steps));
        assertThat(body.path("violations").size(), is(0));
    }
}
