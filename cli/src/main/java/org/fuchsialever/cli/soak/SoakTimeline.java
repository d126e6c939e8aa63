package org.fuchsialever.cli.soak;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time and the work that is due at later moments, in order of time. */
final class SoakTimeline {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::order));
    private long mNowNanos;
    private long mOrder;

    long now() {
        return mNowNanos;
    }

    void after(long delayNanos, Runnable work) {
        mTasks.add(new Task(mNowNanos + delayNanos, mOrder++, work));
    }

    /** Advances to a moment and runs what becomes due on the way. */
    void advanceTo(long endNanos) {
        Task next = mTasks.peek();
        while (next != null && next.atNanos <= endNanos) {
            mTasks.remove();
            mNowNanos = Math.max(mNowNanos, next.atNanos);
            next.work.run();
            next = mTasks.peek();
        }
        mNowNanos = endNanos;
    }

    private record Task(long atNanos, long order, Runnable work) {}
}
