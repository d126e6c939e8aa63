package org.fuchsialever.benchmarks.dispatch;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import org.fuchsialever.decisions.model.TeamName;

/**
 * Measures what each of 8 equal teams gets when one of them sends 20 times its share through 2 of
 * 12 instances and all others send twice their share through all instances.
 */
public final class ShareExperiment {
    private static final int INSTANCES = 12;
    private static final int ENGINES = 6;
    private static final int SLOTS = 32;
    private static final int TEAMS = 8;
    private static final int GREEDY_INSTANCES = 2;
    private static final double GREEDY_FACTOR = 20;
    private static final double OTHERS_FACTOR = 2;
    private static final int PROMPT_TOKENS = 100;
    private static final double MEDIAN_TOKENS = 50;
    private static final double SIGMA = 0.6;
    private static final Duration TOKEN_TIME = Duration.ofMillis(10);
    private static final Duration SETTLE = Duration.ofSeconds(5);
    private static final Duration LENGTH = Duration.ofSeconds(30);
    private static final long[] SEEDS = {1, 2, 3};

    private ShareExperiment() {}

    /** Runs one scenario for each seed and prints the least and the greatest share. */
    public static void main(String[] arguments) {
        System.out.println("seed  worst team  greedy team  greatest  engines busy");
        for (long seed : SEEDS) {
            run(seed);
        }
    }

    private static void run(long seed) {
        Scenario scenario =
                new Scenario(
                        seed, INSTANCES, ENGINES, SLOTS, TOKEN_TIME, Duration.ofHours(1), "scored");
        scenario.reportLoads(Duration.ofMillis(200), Duration.ofMillis(300));
        scenario.measureFrom(SETTLE.toNanos());
        Workload workload = new Workload(seed);
        double meanTokens = MEDIAN_TOKENS * Math.exp(SIGMA * SIGMA / 2);
        double serviceSeconds = meanTokens * TOKEN_TIME.toMillis() / 1e3 + 0.02;
        double fairRate = ENGINES * SLOTS / serviceSeconds / TEAMS;
        for (int team = 0; team < TEAMS; team++) {
            double factor = team == 0 ? GREEDY_FACTOR : OTHERS_FACTOR;
            int instances = team == 0 ? GREEDY_INSTANCES : INSTANCES;
            arriveLater(scenario, workload, fairRate * factor, instances, team);
        }
        Utilisation utilisation = new Utilisation(scenario);
        scenario.agenda().runUntil(SETTLE.plus(LENGTH).toNanos());
        print(seed, scenario.servedTokens(), utilisation.mean());
    }

    private static void arriveLater(
            Scenario scenario, Workload workload, double rate, int instances, int team) {
        scenario.agenda()
                .after(
                        workload.gap(rate),
                        () -> {
                            scenario.arrive(
                                    workload.below(instances),
                                    new TeamName("team-" + team),
                                    0,
                                    PROMPT_TOKENS,
                                    workload.tokens(MEDIAN_TOKENS, SIGMA));
                            arriveLater(scenario, workload, rate, instances, team);
                        });
    }

    private static void print(long seed, Map<TeamName, Long> served, double busy) {
        long total = served.values().stream().mapToLong(Long::longValue).sum();
        double fair = (double) total / TEAMS;
        long least = served.values().stream().mapToLong(Long::longValue).min().orElse(0);
        long most = served.values().stream().mapToLong(Long::longValue).max().orElse(0);
        long greedy = served.getOrDefault(new TeamName("team-0"), 0L);
        System.out.printf(
                Locale.ROOT,
                "%4d  %9.1f%%  %10.1f%%  %7.1f%%  %11.1f%%%n",
                seed,
                100 * least / fair,
                100 * greedy / fair,
                100 * most / fair,
                100 * busy);
    }

    /** Mean part of the slots that are in use, sampled ten times a second. */
    private static final class Utilisation {
        private final Scenario mScenario;
        private double mSum;
        private int mSamples;

        private Utilisation(Scenario scenario) {
            mScenario = scenario;
            scenario.agenda().at(SETTLE.toNanos(), this::sample);
        }

        private void sample() {
            double busy = 0;
            for (EngineModel engine : mScenario.engines()) {
                busy += Math.min(SLOTS, engine.busy());
            }
            mSum += busy / (ENGINES * SLOTS);
            mSamples++;
            mScenario.agenda().after(Duration.ofMillis(100).toNanos(), this::sample);
        }

        private double mean() {
            return mSum / Math.max(1, mSamples);
        }
    }
}
