package org.fuchsialever.kernel.time;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A clock for tests that advances only when one of its methods is called. */
public final class ManualTimeSource implements TimeSource {
    private final AtomicLong mNanos = new AtomicLong();
    private volatile long mWallOriginMillis;

    /**
     * Creates a clock at monotonic time zero.
     *
     * @param wallOriginMillis the initial wall-clock time in milliseconds since the epoch
     */
    public ManualTimeSource(long wallOriginMillis) {
        mWallOriginMillis = wallOriginMillis;
    }

    @Override
    public long nanoTime() {
        return mNanos.get();
    }

    @Override
    public long wallMillis() {
        return mWallOriginMillis + TimeUnit.NANOSECONDS.toMillis(mNanos.get());
    }

    /** Advances the clock by a number of nanoseconds. */
    public void advanceNanos(long delta) {
        if (delta < 0) {
            throw new IllegalArgumentException("a monotonic clock cannot go back by " + delta);
        }
        mNanos.addAndGet(delta);
    }

    /** Advances the clock. */
    public void advance(Duration delta) {
        advanceNanos(delta.toNanos());
    }

    /** Sets the wall clock forward, or back by a negative number of milliseconds. */
    public void jumpWallMillis(long delta) {
        mWallOriginMillis = mWallOriginMillis + delta;
    }
}
