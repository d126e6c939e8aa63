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
 * The slots of an engine and the queue in front of them; higher priority first, then by arrival.
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

    /** Requests a slot; null if all slots are taken and the queue is full. */
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

    /** Returns the load as it was before the lag. */
    synchronized Load load() {
        long asOf = time.nanoTime() - lagNanos;
        Load seen = history.getFirst();
        for (Load load : history) {
            if (load.sinceNanos - asOf <= 0) {
                seen = load;
            }
        }
        return seen;
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

    /** The first entry is of no use once the second one is older than the lag. */
    private boolean isOutdated(long now) {
        Load first = history.removeFirst();
        boolean outdated = history.getFirst().sinceNanos - (now - lagNanos) <= 0;
        history.addFirst(first);
        return outdated;
    }

    /** Requests that run and wait, since a moment of the monotonic clock. */
    record Load(int runningCount, int waitingCount, long sinceNanos) {}

    /** The place of a request in the queue or in a slot. */
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

        /** Completes when the request has a slot. */
        Mono<Void> granted() {
            return granted.asMono();
        }

        /** Completes when the request is cancelled. */
        Mono<Void> cancelled() {
            return cancelled.asMono();
        }

        /** Gives the slot or the place in the queue back. A second call does nothing. */
        void release() {
            EngineSlots.this.release(this);
        }
    }
}
