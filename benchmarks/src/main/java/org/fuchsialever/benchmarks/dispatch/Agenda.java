package org.fuchsialever.benchmarks.dispatch;

import java.util.PriorityQueue;

/** Events in order of time. */
final class Agenda {
    private final PriorityQueue<Item> mItems = new PriorityQueue<>();
    private long mNow;
    private long mSequence;

    long now() {
        return mNow;
    }

    void at(long nanos, Runnable task) {
        mItems.add(new Item(Math.max(nanos, mNow), mSequence++, task));
    }

    void after(long nanos, Runnable task) {
        at(mNow + nanos, task);
    }

    void runUntil(long end) {
        Item next = mItems.peek();
        while (next != null && next.nanos <= end) {
            mItems.poll();
            mNow = next.nanos;
            next.task.run();
            next = mItems.peek();
        }
        mNow = end;
    }

    private record Item(long nanos, long sequence, Runnable task) implements Comparable<Item> {
        @Override
        public int compareTo(Item other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
