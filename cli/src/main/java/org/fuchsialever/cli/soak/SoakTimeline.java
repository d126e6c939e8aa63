package org.fuchsialever.cli.soak;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time and the work that is due at later moments, in order of time. */
final class SoakTimeline {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::order));
    private long nowNanos;
    private long order;

    long now() {
        return nowNanos;
    }

    void after(long delayNanos, Runnable work) {
        tasks.add(new Task(nowNanos + delayNanos, order++, work));
    }

    /** Advances to a moment and runs what becomes due on the way. */
    void advanceTo(long endNanos) {
        Task next = tasks.peek();
        while (next != null && next.atNanos <= endNanos) {
            tasks.remove();
            nowNanos = Math.max(nowNanos, next.atNanos);
            next.work.run();
            next = tasks.peek();
        }
        nowNanos = endNanos;
    }

    private record Task(long atNanos, long order, Runnable work) {}
}
