package org.fuchsialever.kernel.time;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A clock for tests that advances only when one of its methods is called. */
public final class ManualTimeSource implements TimeSource {
    private final AtomicLong nanos = new AtomicLong();
    private volatile long wallOriginMillis;

    /**
     * Creates a clock at monotonic time zero.
     *
     * @param wallOriginMillis the initial wall-clock time in milliseconds since the epoch
     */
    public ManualTimeSource(long wallOriginMillis) {
        this.wallOriginMillis = wallOriginMillis;
    }

    @Override
    public long nanoTime() {
        return nanos.get();
    }

    @Override
    public long wallMillis() {
        return wallOriginMillis + TimeUnit.NANOSECONDS.toMillis(nanos.get());
    }

    /** Advances the clock by a number of nanoseconds. */
    public void advanceNanos(long delta) {
        if (delta < 0) {
            throw new IllegalArgumentException("a monotonic clock cannot go back by " + delta);
        }
        nanos.addAndGet(delta);
    }

    /** Advances the clock. */
    public void advance(Duration delta) {
        advanceNanos(delta.toNanos());
    }

    /** Sets the wall clock forward, or back by a negative number of milliseconds. */
    public void jumpWallMillis(long delta) {
        wallOriginMillis = wallOriginMillis + delta;
    }
}
