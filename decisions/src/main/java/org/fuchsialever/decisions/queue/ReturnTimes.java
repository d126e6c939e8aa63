package org.fuchsialever.decisions.queue;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Spreads the return of the callers that a service refused. Single writer. */
public final class ReturnTimes {
    /** A retry before that meets the same load. */
    private static final long MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Most overloads are over by then, and a caller who waits longer leaves room unused. */
    private static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Distance of two returns if the rate of the service is unknown. */
    private static final long DEFAULT_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** Callers honour a hint up to this fraction of the time that they have left. */
    private static final long LEFT_FRACTION = 3;

    private final RandomGenerator mRandom;
    private long mLast = Long.MIN_VALUE;

    /** Creates a spread that uses the given source of jitter. */
    public ReturnTimes(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Returns the time after which a refused call is to return, in milliseconds.
     *
     * @param perSecond number of calls that the service ends each second, 0 if unknown
     * @param roomAt when the first upstream is expected back, in monotonic nanoseconds; before now
     *     if there is one
     * @param left what is left of the call's time limit, in nanoseconds
     */
    public long nextMillis(double perSecond, long roomAt, long left, long now) {
        long gap =
                perSecond <= 0
                        ? DEFAULT_GAP_NANOS
                        : (long) (TimeUnit.SECONDS.toNanos(1) / perSecond);
        long earliest = Math.max(now + MIN_NANOS, roomAt);
        long place = Math.max(earliest, mLast == Long.MIN_VALUE ? earliest : mLast + gap);
        if (place - earliest > MAX_NANOS) {
            // More callers than the service serves within the horizon share it evenly.
            place = earliest + mRandom.nextLong(MAX_NANOS);
        } else {
            mLast = place;
        }
        long delay = place - now + mRandom.nextLong(gap + 1);
        long cap = Math.min(MAX_NANOS, Math.max(0, left) / LEFT_FRACTION);
        if (delay > cap) {
            // Without jitter all calls with the same limit would return at once.
            delay = cap / 2 + mRandom.nextLong(cap / 2 + 1);
        }
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(delay));
    }
}
