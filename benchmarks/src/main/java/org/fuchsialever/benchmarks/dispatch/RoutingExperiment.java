package org.fuchsialever.benchmarks.dispatch;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.fuchsialever.decisions.dispatch.BalancingPolicy;
import org.fuchsialever.decisions.model.TeamName;

/** Compares balancing policies by time to first byte, cache hits and imbalance. */
public final class RoutingExperiment {
    private static final long SEED = 11;
    private static final int SLOTS = 16;
    private static final int PREFIXES_PER_ENGINE = 40;
    private static final int PROMPT_TOKENS = 1_500;
    private static final double MEDIAN_TOKENS = 80;
    private static final double SIGMA = 0.8;
    private static final double UTILISATION = 0.8;
    private static final Duration TOKEN_TIME = Duration.ofMillis(20);
    private static final Duration DEADLINE = Duration.ofSeconds(120);
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final Duration LENGTH = Duration.ofSeconds(30);
    private static final List<Integer> SIZES = List.of(6, 60, 600);
    private static final List<Duration> LAGS =
            List.of(Duration.ofMillis(100), Duration.ofSeconds(1), Duration.ofSeconds(5));

    private RoutingExperiment() {}

    /**
     * Runs all combinations and prints one line for each.
     *
     * @param arguments the pool sizes and the policies to run; all, if none is named
     */
    public static void main(String[] arguments) {
        List<String> wanted = List.of(arguments);
        boolean namesSize = wanted.stream().anyMatch(word -> Character.isDigit(word.charAt(0)));
        boolean namesPolicy = wanted.stream().anyMatch(word -> Character.isLetter(word.charAt(0)));
        List<Integer> sizes =
                SIZES.stream().filter(size -> !namesSize || wanted.contains("" + size)).toList();
        List<BalancingPolicy> policies =
                Arrays.stream(BalancingPolicy.values())
                        .filter(policy -> !namesPolicy || wanted.contains(policy.pluginName()))
                        .toList();
        System.out.println("engines  lag      policy          p50 ms   p99 ms  hits  imbalance");
        for (int size : sizes) {
            for (Duration lag : LAGS) {
                for (BalancingPolicy policy : policies) {
                    run(size, lag, policy);
                }
            }
        }
    }

    private static void run(int size, Duration lag, BalancingPolicy policy) {
        int instanceCount = Math.max(3, size / 15);
        Scenario scenario =
                new Scenario(
                        SEED,
                        instanceCount,
                        size,
                        SLOTS,
                        TOKEN_TIME,
                        DEADLINE,
                        policy.pluginName());
        scenario.reportLoads(Duration.ofMillis(200), lag);
        scenario.measureFrom(WARM_UP.toNanos());
        Workload workload = new Workload(SEED);
        double meanTokens = MEDIAN_TOKENS * Math.exp(SIGMA * SIGMA / 2);
        double serviceSeconds = meanTokens * TOKEN_TIME.toMillis() / 1e3 + 0.15;
        double rate = UTILISATION * size * SLOTS / serviceSeconds;
        int prefixes = PREFIXES_PER_ENGINE * size;
        arriveLater(scenario, workload, rate, instanceCount, prefixes);
        Imbalance imbalance = new Imbalance(scenario);
        scenario.agenda().runUntil(WARM_UP.plus(LENGTH).toNanos());
        int hits = scenario.engines().stream().mapToInt(EngineModel::hits).sum();
        int started = scenario.engines().stream().mapToInt(EngineModel::started).sum();
        System.out.printf(
                Locale.ROOT,
                "%7d  %-7s  %-14s  %7.1f  %7.1f  %3.0f%%  %6.2f%n",
                size,
                lag.toMillis() + " ms",
                policy.pluginName(),
                scenario.firstBytes().getValueAtPercentile(50) / 1e3,
                scenario.firstBytes().getValueAtPercentile(99) / 1e3,
                100.0 * hits / Math.max(1, started),
                imbalance.mean());
    }

    private static void arriveLater(
            Scenario scenario, Workload workload, double rate, int instances, int prefixes) {
        scenario.agenda()
                .after(
                        workload.gap(rate),
                        () -> {
                            scenario.arrive(
                                    workload.below(instances),
                                    new TeamName("alba"),
                                    workload.prefix(prefixes),
                                    PROMPT_TOKENS,
                                    workload.tokens(MEDIAN_TOKENS, SIGMA));
                            arriveLater(scenario, workload, rate, instances, prefixes);
                        });
    }

    /** Mean of the highest load over the average load, sampled each second. */
    private static final class Imbalance {
        private final Scenario mScenario;
        private double mSum;
        private int mSamples;

        private Imbalance(Scenario scenario) {
            mScenario = scenario;
            scenario.agenda().at(WARM_UP.toNanos(), this::sample);
        }

        private void sample() {
            double most = 0;
            double total = 0;
            for (EngineModel engine : mScenario.engines()) {
                most = Math.max(most, engine.busy());
                total += engine.busy();
            }
            mSum += most / Math.max(1, total / mScenario.engines().size());
            mSamples++;
            mScenario.agenda().after(Duration.ofSeconds(1).toNanos(), this::sample);
        }

        private double mean() {
            return mSum / Math.max(1, mSamples);
        }
    }
}
