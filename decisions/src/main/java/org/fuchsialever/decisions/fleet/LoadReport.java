package org.fuchsialever.decisions.fleet;

import java.util.concurrent.TimeUnit;

/** The last load that an upstream reported, weighed by its age. Single writer. */
final class LoadReport {
    /** A slowdown by neighbours of the machine is over within some hundred milliseconds. */
    private static final long SLOWDOWN_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private int mOtherCalls;
    private double mSlowdown = 1;
    private long mAtNanos;

    /**
     * Records a report.
     *
     * @param ownCalls number of calls of this instance among those that were reported
     */
    void observe(LoadHint hint, int ownCalls, long now) {
        mOtherCalls = Math.max(0, hint.running() + hint.waiting() - ownCalls);
        mSlowdown = hint.slowdown().getOrElse(1.0);
        mAtNanos = now;
    }

    /**
     * Returns the expected number of calls of other instances.
     *
     * @param callNanos how long a call typically takes; a report outlives the calls it counts
     */
    double otherCalls(long callNanos, long now) {
        return mOtherCalls == 0 ? 0 : mOtherCalls * Decay.weight(now - mAtNanos, callNanos);
    }

    /** Returns by how many times its usual time work was prolonged when this was reported. */
    double excess() {
        return Math.max(0, mSlowdown - 1);
    }

    /** Returns the probability that a reported slowdown lasts. */
    double slowdownWeight(long now) {
        return Decay.weight(now - mAtNanos, SLOWDOWN_LIFETIME_NANOS);
    }
}
