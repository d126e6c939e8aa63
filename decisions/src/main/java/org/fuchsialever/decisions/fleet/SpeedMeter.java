package org.fuchsialever.decisions.fleet;

import java.util.concurrent.TimeUnit;

/** Recent mean of a measured time and how much it is worth. Single writer. */
final class SpeedMeter {
    /** Age at which a measurement has lost most of its worth, so that the upstream is retried. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final int mMemory;
    private final double mDoubt;
    private double mMean;
    private int mSamples;
    private long mLastNanos;

    /**
     * Creates a meter without measurements.
     *
     * @param memory number of measurements that the mean goes back
     * @param doubt number of measurements at which their mean is worth half
     */
    SpeedMeter(int memory, double doubt) {
        mMemory = memory;
        mDoubt = doubt;
    }

    void observe(double value, long now) {
        mSamples = Math.min(mSamples + 1, mMemory);
        mMean += (value - mMean) / mSamples;
        mLastNanos = now;
    }

    void clear() {
        mSamples = 0;
        mMean = 0;
    }

    boolean isKnown() {
        return mSamples > 0;
    }

    double mean() {
        return mMean;
    }

    /** Returns how much the mean is worth now, from 0 for nothing to 1. */
    double confidence(long now) {
        return mSamples / (mSamples + mDoubt) * Decay.weight(now - mLastNanos, LIFETIME_NANOS);
    }
}
