package org.fuchsialever.benchmarks.dispatch;

import java.util.SplittableRandom;

/** Random arrivals and sizes. */
final class Workload {
    private final SplittableRandom mRandom;

    Workload(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /** Returns an exponential time between arrivals in nanoseconds. */
    long gap(double perSecond) {
        return (long) (-Math.log(1 - mRandom.nextDouble()) / perSecond * 1e9);
    }

    /** Returns a log-normal number of tokens, at least 1. */
    int tokens(double median, double sigma) {
        double normal = gaussian();
        return (int) Math.max(1, Math.round(median * Math.exp(sigma * normal)));
    }

    /** Returns a prefix; low numbers are much more frequent than high ones. */
    long prefix(int count) {
        double u = mRandom.nextDouble();
        return 1 + (long) (Math.pow(count, u) - 1);
    }

    int below(int bound) {
        return mRandom.nextInt(bound);
    }

    boolean chance(double probability) {
        return mRandom.nextDouble() < probability;
    }

    private double gaussian() {
        double u = 1 - mRandom.nextDouble();
        return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * mRandom.nextDouble());
    }
}
