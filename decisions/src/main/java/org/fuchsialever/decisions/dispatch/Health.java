package org.fuchsialever.decisions.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Health of one upstream as seen by this instance: ejection after failures in a row, longer with
 * each repetition, and a slow start after the return.
 */
final class Health {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long BASE_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int MAX_DOUBLINGS = 6;
    private static final long FORGIVE_NANOS = TimeUnit.MINUTES.toNanos(5);
    private static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final double SLOW_START_FLOOR = 0.1;

    private int failuresInARow;
    private int ejections;
    private long ejectedUntil = Long.MIN_VALUE;

    void onSuccess(long nowNanos) {
        failuresInARow = 0;
        if (ejections > 0 && nowNanos - ejectedUntil > FORGIVE_NANOS) {
            ejections = 0;
        }
    }

    /** Returns whether the upstream should be ejected. */
    boolean onFailure() {
        failuresInARow++;
        return failuresInARow >= FAILURES_TO_EJECT;
    }

    void eject(long nowNanos) {
        ejectedUntil = nowNanos + (BASE_EJECTION_NANOS << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        failuresInARow = 0;
    }

    boolean isEjected(long nowNanos) {
        return ejections > 0 && nowNanos < ejectedUntil;
    }

    /** Returns the part of the capacity that may be used, from the floor of slow start to 1. */
    double capacityFactor(long nowNanos) {
        if (ejections == 0) {
            return 1;
        }
        double ramp = (double) (nowNanos - ejectedUntil) / SLOW_START_NANOS;
        return Math.max(SLOW_START_FLOOR, Math.min(1, ramp));
    }
}
