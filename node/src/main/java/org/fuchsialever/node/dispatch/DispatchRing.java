package org.fuchsialever.node.dispatch;

import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.log.PartLogger;
import org.jspecify.annotations.Nullable;

/**
 * The ring of the dispatch duty as its producers see it. Reports that a later one replaces use a
 * small part of the ring; the rest is kept for the events of admitted calls, so that the end of an
 * attempt always finds room.
 */
final class DispatchRing {
    private static final PartLogger LOG = PartLogger.of("dispatch");

    /**
     * A call has at most an arrival, an end, an end that crossed a cancellation and a departure in
     * the ring. The departure and a crossed end of the call that had its place before may still be
     * there, because they were written before the arrival.
     */
    private static final int EVENTS_PER_CALL = 6;

    private static final int REPORTS = 1_024;

    /** Room for changes of the configuration and for reports that race with each other. */
    private static final int SPARE = 256;

    private final ExchangeMeters meters;
    private volatile @Nullable Inbox<DispatchEvent> inbox;

    DispatchRing(ExchangeMeters meters) {
        this.meters = meters;
    }

    /** Returns the capacity that a ring needs for a number of calls. */
    static int capacity(int maxCalls) {
        return maxCalls * EVENTS_PER_CALL + REPORTS + SPARE;
    }

    void connect(Inbox<DispatchEvent> ring) {
        inbox = ring;
    }

    /** Sends an event that must not be lost. */
    void send(DispatchEvent event) {
        Inbox<DispatchEvent> ring = inbox;
        if (ring == null || !ring.offer(event)) {
            meters.eventLost();
            LOG.warning("Ring is full; an event of type " + event.getClass() + " was lost.");
        }
    }

    /** Sends a report, or drops it if the ring is busy. */
    void report(DispatchEvent event) {
        Inbox<DispatchEvent> ring = inbox;
        if (ring == null || ring.size() >= REPORTS || !ring.offer(event)) {
            meters.reportDropped();
        }
    }
}
