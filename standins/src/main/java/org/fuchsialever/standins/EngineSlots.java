package org.fuchsialever.standins;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.fuchsialever.kernel.time.TimeSource;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The slots of an engine and the queue of requests that wait for one. Requests with higher priority
 * come first, requests of equal priority in the order of arrival.
 */
final class EngineSlots {
    private final int mSlots;
    private final int mQueueCapacity;
    private final long mLagNanos;
    private final TimeSource mTime;
    private final PriorityQueue<Ticket> mWaiting =
            new PriorityQueue<>(
                    Comparator.comparingInt((Ticket ticket) -> -ticket.mPriority)
                            .thenComparingLong(ticket -> ticket.mSequence));
    private final Map<String, Ticket> mTickets = new HashMap<>();
    private final Deque<Load> mHistory = new ArrayDeque<>();
    private long mSequence;
    private int mRunning;

    EngineSlots(int slots, int queue, long lagNanos, TimeSource time) {
        mTime = time;
        mSlots = slots;
        mQueueCapacity = queue;
        mLagNanos = lagNanos;
        mHistory.add(new Load(0, 0, time.nanoTime()));
    }

    /** Requests a slot; returns null if all slots are taken and the queue is full. */
    synchronized @Nullable Ticket request(String id, int priority) {
        if (mRunning >= mSlots && mWaiting.size() >= mQueueCapacity) {
            return null;
        }
        Ticket ticket = new Ticket(id, priority, mSequence++);
        mTickets.put(id, ticket);
        mWaiting.add(ticket);
        grantSlots();
        return ticket;
    }

    /** Cancels a request; returns whether it was known. */
    boolean cancel(String id) {
        Ticket ticket;
        synchronized (this) {
            ticket = mTickets.get(id);
        }
        if (ticket == null) {
            return false;
        }
        ticket.mCancelled.tryEmitEmpty();
        return true;
    }

    /** Returns the load at the current time minus the lag. */
    synchronized Load load() {
        long asOf = mTime.nanoTime() - mLagNanos;
        Load reported = mHistory.getFirst();
        for (Load load : mHistory) {
            if (load.sinceNanos - asOf <= 0) {
                reported = load;
            }
        }
        return reported;
    }

    synchronized int running() {
        return mRunning;
    }

    synchronized int waiting() {
        return mWaiting.size();
    }

    private synchronized void release(Ticket ticket) {
        if (ticket.mReleased) {
            return;
        }
        ticket.mReleased = true;
        mTickets.remove(ticket.mId, ticket);
        if (ticket.mRunning) {
            mRunning--;
        } else {
            mWaiting.remove(ticket);
        }
        grantSlots();
    }

    private void grantSlots() {
        while (mRunning < mSlots && !mWaiting.isEmpty()) {
            Ticket next = mWaiting.remove();
            next.mRunning = true;
            mRunning++;
            next.mGranted.tryEmitEmpty();
        }
        long now = mTime.nanoTime();
        mHistory.addLast(new Load(mRunning, mWaiting.size(), now));
        while (mHistory.size() > 1 && isOutdated(now)) {
            mHistory.removeFirst();
        }
    }

    /** Returns whether the second entry is older than the lag, so that the first is not needed. */
    private boolean isOutdated(long now) {
        Load first = mHistory.removeFirst();
        boolean outdated = mHistory.getFirst().sinceNanos - (now - mLagNanos) <= 0;
        mHistory.addFirst(first);
        return outdated;
    }

    /** Numbers of running and waiting requests since a point in time on the monotonic clock. */
    record Load(int runningCount, int waitingCount, long sinceNanos) {}

    /** A request that waits in the queue or holds a slot. */
    final class Ticket {
        private final String mId;
        private final int mPriority;
        private final long mSequence;
        private final Sinks.Empty<Void> mGranted = Sinks.empty();
        private final Sinks.Empty<Void> mCancelled = Sinks.empty();
        private boolean mRunning;
        private boolean mReleased;

        private Ticket(String id, int priority, long sequence) {
            mId = id;
            mPriority = priority;
            mSequence = sequence;
        }

        /** Completes when the request is granted a slot. */
        Mono<Void> granted() {
            return mGranted.asMono();
        }

        /** Completes when the request is cancelled. */
        Mono<Void> cancelled() {
            return mCancelled.asMono();
        }

        /** Releases the slot or leaves the queue; further calls have no effect. */
        void release() {
            EngineSlots.this.release(this);
        }
    }
}
