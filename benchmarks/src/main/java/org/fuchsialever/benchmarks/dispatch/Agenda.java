package org.fuchsialever.benchmarks.dispatch;

import java.util.PriorityQueue;

/** Events in order of time. */
final class Agenda {
    private final PriorityQueue<Item> items = new PriorityQueue<>();
    private long now;
    private long sequence;

    long now() {
        return now;
    }

    void at(long nanos, Runnable task) {
        items.add(new Item(Math.max(nanos, now), sequence++, task));
    }

    void after(long nanos, Runnable task) {
        at(now + nanos, task);
    }

    void runUntil(long end) {
        Item next = items.peek();
        while (next != null && next.nanos <= end) {
            items.poll();
            now = next.nanos;
            next.task.run();
            next = items.peek();
        }
        now = end;
    }

    private record Item(long nanos, long sequence, Runnable task) implements Comparable<Item> {
        @Override
        public int compareTo(Item other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
