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
    private final int slots;
    private final int queueCapacity;
    private final long lagNanos;
    private final TimeSource time;
    private final PriorityQueue<Ticket> waiting =
            new PriorityQueue<>(
                    Comparator.comparingInt((Ticket ticket) -> -ticket.priority)
                            .thenComparingLong(ticket -> ticket.sequence));
    private final Map<String, Ticket> tickets = new HashMap<>();
    private final Deque<Load> history = new ArrayDeque<>();
    private long sequence;
    private int running;

    EngineSlots(int slots, int queue, long lagNanos, TimeSource time) {
        this.time = time;
        this.slots = slots;
        this.queueCapacity = queue;
        this.lagNanos = lagNanos;
        history.add(new Load(0, 0, time.nanoTime()));
    }

    /** Requests a slot; returns null if all slots are taken and the queue is full. */
    synchronized @Nullable Ticket request(String id, int priority) {
        if (running >= slots && waiting.size() >= queueCapacity) {
            return null;
        }
        Ticket ticket = new Ticket(id, priority, sequence++);
        tickets.put(id, ticket);
        waiting.add(ticket);
        grantSlots();
        return ticket;
    }

    /** Cancels a request; returns whether it was known. */
    boolean cancel(String id) {
        Ticket ticket;
        synchronized (this) {
            ticket = tickets.get(id);
        }
        if (ticket == null) {
            return false;
        }
        ticket.cancelled.tryEmitEmpty();
        return true;
    }

    /** Returns the load at the current time minus the lag. */
    synchronized Load load() {
        long asOf = time.nanoTime() - lagNanos;
        Load reported = history.getFirst();
        for (Load load : history) {
            if (load.sinceNanos - asOf <= 0) {
                reported = load;
            }
        }
        return reported;
    }

    synchronized int running() {
        return running;
    }

    synchronized int waiting() {
        return waiting.size();
    }

    private synchronized void release(Ticket ticket) {
        if (ticket.released) {
            return;
        }
        ticket.released = true;
        tickets.remove(ticket.id, ticket);
        if (ticket.running) {
            running--;
        } else {
            waiting.remove(ticket);
        }
        grantSlots();
    }

    private void grantSlots() {
        while (running < slots && !waiting.isEmpty()) {
            Ticket next = waiting.remove();
            next.running = true;
            running++;
            next.granted.tryEmitEmpty();
        }
        long now = time.nanoTime();
        history.addLast(new Load(running, waiting.size(), now));
        while (history.size() > 1 && isOutdated(now)) {
            history.removeFirst();
        }
    }

    /** Returns whether the second entry is older than the lag, so that the first is not needed. */
    private boolean isOutdated(long now) {
        Load first = history.removeFirst();
        boolean outdated = history.getFirst().sinceNanos - (now - lagNanos) <= 0;
        history.addFirst(first);
        return outdated;
    }

    /** Numbers of running and waiting requests since a point in time on the monotonic clock. */
    record Load(int runningCount, int waitingCount, long sinceNanos) {}

    /** A request that waits in the queue or holds a slot. */
    final class Ticket {
        private final String id;
        private final int priority;
        private final long sequence;
        private final Sinks.Empty<Void> granted = Sinks.empty();
        private final Sinks.Empty<Void> cancelled = Sinks.empty();
        private boolean running;
        private boolean released;

        private Ticket(String id, int priority, long sequence) {
            this.id = id;
            this.priority = priority;
            this.sequence = sequence;
        }

        /** Completes when the request is granted a slot. */
        Mono<Void> granted() {
            return granted.asMono();
        }

        /** Completes when the request is cancelled. */
        Mono<Void> cancelled() {
            return cancelled.asMono();
        }

        /** Releases the slot or leaves the queue; further calls have no effect. */
        void release() {
            EngineSlots.this.release(this);
        }
    }
}
