package org.fuchsialever.decisions.domain;

import io.vavr.control.Option;

/**
 * Smoothed utilization of a failure domain. Without new reports it returns to what is usual for the
 * service, since old load says little about the present.
 */
final class LoadEstimate {
    private final long mSmoothingNanos;
    private final long mMemoryNanos;
    private double mValue;
    private long mObservedAt;
    private boolean mObserved;

    /**
     * Creates an estimate without observations.
     *
     * @param smoothingNanos time constant with which it follows reports
     * @param memoryNanos time constant with which it forgets the last report
     */
    LoadEstimate(long smoothingNanos, long memoryNanos) {
        mSmoothingNanos = smoothingNanos;
        mMemoryNanos = memoryNanos;
    }

    /**
     * Adds the utilization that is known now, if any.
     *
     * @param coverage part of the capacity that it is known of, 0 to 1; it weighs that much less
     * @param usual usual utilization of the upstreams of the service
     */
    void observe(Option<Double> utilization, double coverage, double usual, long now) {
        if (utilization.isEmpty()) {
            return;
        }
        double before = value(usual, now);
        double weight =
                mObserved ? 1 - Math.exp(-(double) (now - mObservedAt) / mSmoothingNanos) : 1;
        mValue = before + coverage * weight * (utilization.get() - before);
        mObservedAt = now;
        mObserved = true;
    }

    /** Returns whether the last report still says more about the present than the usual value. */
    boolean isCurrent(long now) {
        return mObserved && now - mObservedAt < mMemoryNanos;
    }

    /**
     * Returns the estimate.
     *
     * @param usual usual utilization of the upstreams of the service
     */
    double value(double usual, long now) {
        if (!mObserved) {
            return usual;
        }
        double remembered = Math.exp(-(double) (now - mObservedAt) / mMemoryNanos);
        return usual + remembered * (mValue - usual);
    }
}
