package org.fuchsialever.benchmarks.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import org.fuchsialever.decisions.model.TeamName;

/**
 * Measures requests completed within their deadline at rising load, for the dispatch duty and for a
 * plain first-in first-out queue before the same engines.
 */
public final class OverloadExperiment {
    private static final long SEED = 5;
    private static final int INSTANCES = 3;
    private static final int ENGINES = 6;
    private static final int SLOTS = 16;
    private static final int PROMPT_TOKENS = 100;
    private static final double MEDIAN_TOKENS = 50;
    private static final double SIGMA = 0.6;
    private static final Duration TOKEN_TIME = Duration.ofMillis(10);
    private static final Duration DEADLINE = Duration.ofSeconds(4);
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration LENGTH = Duration.ofSeconds(60);
    private static final double[] LOADS = {0.5, 0.9, 1.0, 1.5, 2.0, 3.0};

    private OverloadExperiment() {}

    /** Runs both queues at each load and prints completed requests per second. */
    public static void main(String[] arguments) {
        System.out.println("load  duty in time/s  duty late/s  fifo in time/s");
        for (double load : LOADS) {
            Scenario scenario = duty(load);
            double seconds = LENGTH.toSeconds();
            System.out.printf(
                    Locale.ROOT,
                    "%4.1f  %14.1f  %11.1f  %14.1f%n",
                    load,
                    scenario.goodput() / seconds,
                    scenario.late() / seconds,
                    fifo(load) / seconds);
        }
    }

    private static Scenario duty(double load) {
        Scenario scenario =
                new Scenario(SEED, INSTANCES, ENGINES, SLOTS, TOKEN_TIME, DEADLINE, "scored");
        scenario.reportLoads(Duration.ofMillis(200), Duration.ofMillis(300));
        scenario.measureFrom(WARM_UP.toNanos());
        Workload workload = new Workload(SEED);
        arriveLater(scenario, workload, rate(load));
        scenario.agenda().runUntil(WARM_UP.plus(LENGTH).toNanos());
        return scenario;
    }

    private static double rate(double load) {
        double meanTokens = MEDIAN_TOKENS * Math.exp(SIGMA * SIGMA / 2);
        double serviceSeconds = meanTokens * TOKEN_TIME.toMillis() / 1e3 + 0.02;
        return load * ENGINES * SLOTS / serviceSeconds;
    }

    private static void arriveLater(Scenario scenario, Workload workload, double rate) {
        scenario.agenda()
                .after(
                        workload.gap(rate),
                        () -> {
                            scenario.arrive(
                                    workload.below(INSTANCES),
                                    new TeamName("alba"),
                                    0,
                                    PROMPT_TOKENS,
                                    workload.tokens(MEDIAN_TOKENS, SIGMA));
                            arriveLater(scenario, workload, rate);
                        });
    }

    private static int fifo(double load) {
        Fifo fifo = new Fifo(rate(load));
        fifo.arriveLater();
        fifo.mAgenda.runUntil(WARM_UP.plus(LENGTH).toNanos());
        return fifo.mInTime;
    }

    /** One unbounded queue before all slots; the baseline. */
    private static final class Fifo {
        private final Agenda mAgenda = new Agenda();
        private final Workload mWorkload = new Workload(SEED);
        private final Deque<long[]> mQueue = new ArrayDeque<>();
        private final double mRate;
        private int mBusy;
        private int mInTime;

        private Fifo(double rate) {
            mRate = rate;
        }

        private void arriveLater() {
            mAgenda.after(
                    mWorkload.gap(mRate),
                    () -> {
                        mQueue.add(
                                new long[] {mAgenda.now(), mWorkload.tokens(MEDIAN_TOKENS, SIGMA)});
                        startNext();
                        arriveLater();
                    });
        }

        private void startNext() {
            while (mBusy < ENGINES * SLOTS && !mQueue.isEmpty()) {
                long[] job = mQueue.remove();
                mBusy++;
                long service = Duration.ofMillis(20).toNanos() + job[1] * TOKEN_TIME.toNanos();
                mAgenda.after(
                        service,
                        () -> {
                            mBusy--;
                            boolean measured = mAgenda.now() >= WARM_UP.toNanos();
                            boolean met = mAgenda.now() - job[0] <= DEADLINE.toNanos();
                            mInTime += measured && met ? 1 : 0;
                            startNext();
                        });
            }
        }
    }
}
