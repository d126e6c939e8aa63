package org.fuchsialever.decisions.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Health of one upstream as seen by this instance. Consecutive failures eject the upstream, each
 * time for longer, and its capacity is then restored by a slow start.
 */
final class Health {
    private static final int EJECTION_FAILURE_COUNT = 3;
    private static final long BASE_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int MAX_DOUBLINGS = 6;
    private static final long EJECTION_RESET_NANOS = TimeUnit.MINUTES.toNanos(5);
    private static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final double SLOW_START_FLOOR = 0.1;

    private int mConsecutiveFailures;
    private int mEjectionCount;
    private long mEjectedUntil = Long.MIN_VALUE;

    void onSuccess(long nowNanos) {
        mConsecutiveFailures = 0;
        if (mEjectionCount > 0 && nowNanos - mEjectedUntil > EJECTION_RESET_NANOS) {
            mEjectionCount = 0;
        }
    }

    /** Counts a failure and returns whether the upstream should be ejected. */
    boolean onFailure() {
        mConsecutiveFailures++;
        return mConsecutiveFailures >= EJECTION_FAILURE_COUNT;
    }

    void eject(long nowNanos) {
        mEjectedUntil = nowNanos + (BASE_EJECTION_NANOS << Math.min(mEjectionCount, MAX_DOUBLINGS));
        mEjectionCount++;
        mConsecutiveFailures = 0;
    }

    boolean isEjected(long nowNanos) {
        return mEjectionCount > 0 && nowNanos < mEjectedUntil;
    }

    /** Returns the usable share of the capacity, from {@link #SLOW_START_FLOOR} to 1. */
    double capacityFactor(long nowNanos) {
        if (mEjectionCount == 0) {
            return 1;
        }
        double ramp = (double) (nowNanos - mEjectedUntil) / SLOW_START_NANOS;
        return Math.max(SLOW_START_FLOOR, Math.min(1, ramp));
    }
}
