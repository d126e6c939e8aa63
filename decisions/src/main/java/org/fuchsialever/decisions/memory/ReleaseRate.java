package org.fuchsialever.decisions.memory;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** The rate at which room has returned lately. */
final class ReleaseRate {
    /** Long enough to average over calls that take about a second. */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Releases closer together than this are counted as one, which bounds the list. */
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Deque<Released> mReleases = new ArrayDeque<>();
    private long mBytes;

    void add(long bytes, long now) {
        expire(now);
        mBytes += bytes;
        Released last = mReleases.peekLast();
        if (last != null && now - last.nanos < STEP_NANOS) {
            mReleases.removeLast();
            mReleases.addLast(new Released(last.nanos, last.bytes + bytes));
        } else {
            mReleases.addLast(new Released(now, bytes));
        }
    }

    /** Returns how long the bytes take to return, or a default if none have returned lately. */
    long nanosFor(long bytes, long defaultNanos, long now) {
        expire(now);
        return mBytes == 0 ? defaultNanos : (long) ((double) bytes / mBytes * WINDOW_NANOS);
    }

    private void expire(long now) {
        Released first = mReleases.peekFirst();
        while (first != null && now - first.nanos >= WINDOW_NANOS) {
            mBytes -= first.bytes;
            mReleases.removeFirst();
            first = mReleases.peekFirst();
        }
    }

    private record Released(long nanos, long bytes) {}
}
