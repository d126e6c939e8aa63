package org.fuchsialever.cli.soak;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.command.JsonTask;

/** One run of the command {@code soak}. */
@Parameters(
        commandDescription =
                "Run the duties of several instances with random work and faults under a manual"
                        + " clock, and report every violation with its seed")
final class SoakTask extends JsonTask {
    @Parameter(names = "--seed", description = "First seed")
    private long mSeed = 1;

    @Parameter(names = "--seeds", description = "Number of seeds, each a run of its own")
    private int mSeeds = 10;

    @Parameter(
            names = "--steps",
            description = "Steps of 10 ms with faults for each seed; a recovery follows")
    private long mSteps = 2_000;

    @Override
    public ExitCode run(CommandContext context) {
        if (mSeeds <= 0 || mSteps <= 0) {
            throw new ParameterException("--seeds and --steps must be positive");
        }
        long started = System.nanoTime();
        List<SoakRun> violated = new ArrayList<>();
        Map<String, Integer> counts = new TreeMap<>();
        long taken = 0;
        int runs = 0;
        while (runs < mSeeds && context.stop().getCount() > 0) {
            SoakRun result = SoakRun.of(mSeed + runs, mSteps);
            runs++;
            taken += result.steps();
            result.counts().forEach((name, count) -> counts.merge(name, count, Integer::sum));
            if (result.violation().isDefined()) {
                violated.add(result);
            }
        }
        double seconds = (double) (System.nanoTime() - started) / TimeUnit.SECONDS.toNanos(1);
        if (isJsonRequested()) {
            context.out().println(json(runs, taken, taken / seconds, violated, counts));
        } else {
            context.out()
                    .printf(
                            "%d seeds from %d, %d steps, %.0f steps/s, %d violations%n",
                            runs, mSeed, taken, taken / seconds, violated.size());
            counts.forEach((name, count) -> context.out().printf("%-32s %d%n", name, count));
            violated.forEach(run -> context.out().println(line(run)));
        }
        return violated.isEmpty() ? ExitCode.OK : ExitCode.FAILURE;
    }

    private static String line(SoakRun run) {
        return "seed %d step %d: %s"
                .formatted(run.seed(), run.steps(), run.violation().getOrElse(""));
    }

    private ObjectNode json(
            int runs,
            long taken,
            double rate,
            List<SoakRun> violated,
            Map<String, Integer> counts) {
        ObjectNode body = new ObjectMapper().createObjectNode();
        body.put("seed", mSeed).put("seeds", runs).put("steps", taken);
        body.put("steps_per_second", Math.round(rate));
        ArrayNode list = body.putArray("violations");
        for (SoakRun run : violated) {
            list.addObject()
                    .put("seed", run.seed())
                    .put("step", run.steps())
                    .put("violation", run.violation().getOrElse(""));
        }
        ObjectNode seen = body.putObject("counts");
        counts.forEach(seen::put);
        return body;
    }
}
