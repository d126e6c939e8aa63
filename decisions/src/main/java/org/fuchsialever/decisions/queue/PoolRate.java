package org.fuchsialever.decisions.queue;

import java.util.concurrent.TimeUnit;

/** The rate at which the calls of an instance end at a service. Single writer. */
public final class PoolRate {
    private static final double TIME_CONSTANT_SECONDS = 1;

    /** Fewer calls a second tell nothing about the next one. */
    private static final double MIN_PER_SECOND = 2;

    private double mEnded;
    private long mUpdatedNanos;

    /** Records that a call has ended, which frees a slot. */
    public void noteEnd(long now) {
        mEnded = perSecondAt(now) + 1 / TIME_CONSTANT_SECONDS;
        mUpdatedNanos = now;
    }

    /** Returns the number of calls that end each second, 0 if unknown. */
    public double perSecond(long now) {
        double rate = perSecondAt(now);
        return rate < MIN_PER_SECOND ? 0 : rate;
    }

    /**
     * Returns the time until a call gets a slot, in nanoseconds; 0 if unknown.
     *
     * @param ahead number of calls that go before it
     */
    public long waitNanos(int ahead, long now) {
        double rate = perSecond(now);
        return rate == 0 ? 0 : (long) ((ahead + 1) / rate * TimeUnit.SECONDS.toNanos(1));
    }

    private double perSecondAt(long now) {
        if (mEnded == 0) {
            return 0;
        }
        double seconds = (double) (now - mUpdatedNanos) / TimeUnit.SECONDS.toNanos(1);
        return mEnded * Math.exp(-seconds / TIME_CONSTANT_SECONDS);
    }
}
