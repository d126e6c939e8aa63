package org.fuchsialever.benchmarks.stragglers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.fuchsialever.decisions.samples.LengthPredictor;
import org.fuchsialever.decisions.samples.StragglerPolicy;

/** Runs the samples of one step at a few engines, in ticks of a simulated clock. */
final class SimulatedStep {
    private static final int ENGINES = 6;
    private static final int SLOTS = 16;
    private static final long TICK_MILLIS = 50;
    private static final double TOKEN_MILLIS = 10;

    /** Each further sample at an engine makes a token take this much longer. */
    private static final double LOAD_FACTOR = 0.03;

    /** Tokens whose time is lost when a sample is moved, because its text is read again. */
    private static final double MOVE_TOKENS = 20;

    private final StragglerPolicy policy;
    private final LengthPredictor predictor;
    private final ToDoubleFunction<String> lengths;
    private final int[] load = new int[ENGINES];
    private final List<SimulatedSample> running = new ArrayList<>();
    private final Set<Integer> finished = new HashSet<>();
    private final Set<Integer> duplicated = new HashSet<>();
    private double generatedTokens;
    private double typicalMillis;
    private long now;

    SimulatedStep(
            StragglerPolicy policy, LengthPredictor predictor, ToDoubleFunction<String> lengths) {
        this.policy = policy;
        this.predictor = predictor;
        this.lengths = lengths;
    }

    /**
     * Runs all samples.
     *
     * @param prompts the prompt of each sample
     * @param drawn the length of each sample in tokens
     * @return the duration of the step in milliseconds
     */
    long run(List<String> prompts, double[] drawn) {
        List<Integer> waiting = new ArrayList<>();
        for (int number = 0; number < drawn.length; number++) {
            waiting.add(number);
        }
        waiting.sort(Comparator.comparingInt(number -> -rank(prompts.get(number))));
        while (finished.size() < drawn.length) {
            int engine = leastLoaded();
            while (!waiting.isEmpty() && load[engine] < SLOTS) {
                int number = waiting.remove(0);
                start(number, prompts.get(number), drawn[number], engine);
                engine = leastLoaded();
            }
            move();
            duplicate(drawn.length);
            tick();
        }
        return now;
    }

    /** Returns the tokens that engines generated, including those of runs that were cancelled. */
    double generatedTokens() {
        return generatedTokens;
    }

    private int rank(String prompt) {
        int predicted = predictor.predict(prompt);
        return policy.rank(predicted) + policy.urgencyBoost(predicted, predictor.averageTokens());
    }

    private void start(int number, String prompt, double length, int engine) {
        running.add(new SimulatedSample(number, prompt, length, now, engine));
        load[engine]++;
    }

    private void move() {
        for (SimulatedSample sample : running) {
            int target = leastLoaded();
            if (policy.shouldMove(load[sample.engine], load[target])) {
                load[sample.engine]--;
                load[target]++;
                sample.engine = target;
                sample.left += MOVE_TOKENS;
            }
        }
    }

    private void duplicate(int total) {
        double unfinished = (double) (total - finished.size()) / total;
        for (SimulatedSample sample : List.copyOf(running)) {
            StragglerPolicy.RunningSample late =
                    new StragglerPolicy.RunningSample(
                            TimeUnit.MILLISECONDS.toNanos(now - sample.startedMillis),
                            TimeUnit.MILLISECONDS.toNanos((long) typicalMillis),
                            unfinished,
                            total,
                            duplicated.size());
            int engine = leastLoaded();
            if (load[engine] < SLOTS
                    && !duplicated.contains(sample.number)
                    && policy.shouldDuplicate(late)) {
                duplicated.add(sample.number);
                start(sample.number, sample.prompt, lengths.applyAsDouble(sample.prompt), engine);
            }
        }
    }

    private void tick() {
        now += TICK_MILLIS;
        for (SimulatedSample sample : running) {
            double tokenMillis = TOKEN_MILLIS * (1 + LOAD_FACTOR * (load[sample.engine] - 1));
            double tokens = TICK_MILLIS / tokenMillis;
            sample.left -= tokens;
            generatedTokens += tokens;
        }
        for (SimulatedSample sample : List.copyOf(running)) {
            if (sample.left <= 0 && finished.add(sample.number)) {
                predictor.observe(sample.prompt, (int) sample.length);
                double elapsed = now - sample.startedMillis;
                typicalMillis =
                        typicalMillis == 0 ? elapsed : 0.95 * typicalMillis + 0.05 * elapsed;
            }
        }
        running.removeIf(
                sample -> {
                    boolean over = finished.contains(sample.number);
                    load[sample.engine] -= over ? 1 : 0;
                    return over;
                });
    }

    private int leastLoaded() {
        int best = 0;
        for (int engine = 1; engine < ENGINES; engine++) {
            best = load[engine] < load[best] ? engine : best;
        }
        return best;
    }
}
