package org.fuchsialever.cli.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Poisson arrivals: all calls of a phase with their times, fixed by the seed. */
final class LoadPlan {
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<PlannedCall> mCalls;

    private LoadPlan(List<PlannedCall> calls) {
        mCalls = calls;
    }

    /**
     * Plans a phase.
     *
     * @param seed fixes times and kinds
     * @param ratePerSecond the mean number of calls per second
     * @param duration the time in which calls are sent
     * @param mix the kinds of calls
     */
    static LoadPlan of(long seed, double ratePerSecond, Duration duration, CallMix mix) {
        Random random = new Random(seed);
        List<PlannedCall> calls = new ArrayList<>();
        double at = gap(random, ratePerSecond);
        while (at < duration.toNanos()) {
            calls.add(new PlannedCall(calls.size(), (long) at, mix.pick(random)));
            at += gap(random, ratePerSecond);
        }
        return new LoadPlan(List.copyOf(calls));
    }

    List<PlannedCall> calls() {
        return mCalls;
    }

    private static double gap(Random random, double ratePerSecond) {
        return -Math.log(1 - random.nextDouble()) / ratePerSecond * NANOS_PER_SECOND;
    }

    /**
     * One call.
     *
     * @param number its number in the phase, from 0
     * @param atNanos when to send it, from the start of the phase
     * @param kind its kind
     */
    record PlannedCall(int number, long atNanos, CallKind kind) {}
}
