package org.fuchsialever.benchmarks.stragglers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.fuchsialever.decisions.samples.LengthPredictor;
import org.fuchsialever.decisions.samples.StragglerPolicy;

/**
 * Compares the duration of steps under each policy. Lengths are log-normal. One sample in 50 has 20
 * times the median length; one prompt in 25 is hard, and half of the samples of a hard prompt are
 * such stragglers. Prompts come again in each epoch, so that lengths can be predicted.
 */
public final class StragglerExperiment {
    private static final int EPOCHS = 4;
    private static final int STEPS_IN_EPOCH = 10;
    private static final int GROUPS = 64;
    private static final int SAMPLES = 8;
    private static final double MEDIAN = 200;
    private static final double SIGMA = 0.5;
    private static final double STRAGGLER = 20 * MEDIAN;
    private static final int HARD_PROMPTS = 25;

    private StragglerExperiment() {}

    /**
     * Runs the experiment and prints one line for each policy.
     *
     * @param arguments the seed
     */
    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        double base = 0;
        for (StragglerPolicy policy : StragglerPolicy.values()) {
            Outcome outcome = run(policy, seed);
            base = policy == StragglerPolicy.NONE ? outcome.meanMillis : base;
            System.out.printf(
                    Locale.ROOT,
                    "%-15s mean step %6.2f s (%.3f of none), p95 %6.2f s, tokens %.0f a step%n",
                    policy.pluginName(),
                    outcome.meanMillis / 1_000,
                    outcome.meanMillis / base,
                    outcome.p95Millis / 1_000.0,
                    outcome.tokens);
        }
    }

    private static Outcome run(StragglerPolicy policy, long seed) {
        Random lengths = new Random(seed);
        Random repeats = new Random(seed + 1);
        LengthPredictor predictor = new LengthPredictor();
        List<Long> durations = new ArrayList<>();
        double tokens = 0;
        for (int step = 0; step < EPOCHS * STEPS_IN_EPOCH; step++) {
            List<String> prompts = new ArrayList<>();
            double[] drawn = new double[GROUPS * SAMPLES];
            for (int number = 0; number < drawn.length; number++) {
                int prompt = step % STEPS_IN_EPOCH * GROUPS + number / SAMPLES;
                prompts.add("prompt " + prompt);
                drawn[number] = length(prompts.get(number), lengths);
            }
            SimulatedStep simulated =
                    new SimulatedStep(policy, predictor, prompt -> length(prompt, repeats));
            durations.add(simulated.run(prompts, drawn));
            tokens += simulated.generatedTokens() / (EPOCHS * STEPS_IN_EPOCH);
        }
        long[] sorted = durations.stream().mapToLong(Long::longValue).sorted().toArray();
        return new Outcome(
                Arrays.stream(sorted).average().orElseThrow(),
                sorted[(int) (sorted.length * 0.95)],
                tokens);
    }

    private static double length(String prompt, Random random) {
        double ordinary = MEDIAN * Math.exp(SIGMA * random.nextGaussian());
        boolean straggles = random.nextBoolean();
        int number = Integer.parseInt(prompt.substring("prompt ".length()));
        return number % HARD_PROMPTS == HARD_PROMPTS - 1 && straggles ? STRAGGLER : ordinary;
    }

    private record Outcome(double meanMillis, long p95Millis, double tokens) {}
}
