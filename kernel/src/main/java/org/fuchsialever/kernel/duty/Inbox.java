package org.fuchsialever.kernel.duty;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Bounded ring of events for one duty, with many producers and one consumer. The array-based queue
 * of the JDK is used because it parks an idle consumer and lets a producer discard the oldest
 * event, which a ring buffer with sequence numbers does not support.
 */
public final class Inbox<E> {
    private final BlockingQueue<E> mRing;
    private final OverflowPolicy mOverflow;
    private final LongAdder mOverflows = new LongAdder();

    /**
     * Creates an inbox.
     *
     * @param capacity the number of events that it holds
     * @param overflow what happens to an event when it is full
     */
    public Inbox(int capacity, OverflowPolicy overflow) {
        mRing = new ArrayBlockingQueue<>(capacity);
        mOverflow = overflow;
    }

    /**
     * Adds an event.
     *
     * @return whether the event was accepted
     */
    public boolean offer(E event) {
        return mOverflow.insert(mRing, event, mOverflows::increment);
    }

    /** Returns the number of queued events. */
    public int size() {
        return mRing.size();
    }

    /** Returns how often the inbox was full when an event arrived. */
    public long overflowCount() {
        return mOverflows.sum();
    }

    /** Returns the next event, or null if there is none. */
    public @Nullable E poll() {
        return mRing.poll();
    }

    /** Waits for the next event; returns null if none arrives within the timeout. */
    @Nullable E poll(long timeoutNanos) throws InterruptedException {
        return mRing.poll(timeoutNanos, TimeUnit.NANOSECONDS);
    }
}
