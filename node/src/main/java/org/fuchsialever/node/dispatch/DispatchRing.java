package org.fuchsialever.node.dispatch;

import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.log.PartLogger;
import org.jspecify.annotations.Nullable;

/**
 * The producers' view of the ring of the dispatch duty. Reports, which later reports supersede, may
 * fill only a small part of the ring; the rest is reserved for events of admitted calls, so that
 * the end of an attempt is never lost.
 */
final class DispatchRing {
    private static final PartLogger LOG = PartLogger.of("dispatch");

    /**
     * A call has at most four events in the ring: its arrival, the end of an attempt, the end of an
     * attempt that raced with its cancellation, and the cancellation of the request. A cancellation
     * and a racing end of the previous call in the same place may still precede the arrival.
     */
    private static final int EVENTS_PER_CALL = 6;

    private static final int MAX_QUEUED_REPORTS = 1_024;

    /** Capacity for configuration changes and for reports that pass the size check concurrently. */
    private static final int RESERVED_EVENTS = 256;

    private final ExchangeMeters mMeters;
    private volatile @Nullable Inbox<DispatchEvent> mInbox;

    DispatchRing(ExchangeMeters meters) {
        mMeters = meters;
    }

    /** Returns the ring capacity that a number of concurrent calls requires. */
    static int capacity(int maxCalls) {
        return maxCalls * EVENTS_PER_CALL + MAX_QUEUED_REPORTS + RESERVED_EVENTS;
    }

    void connect(Inbox<DispatchEvent> ring) {
        mInbox = ring;
    }

    /** Sends an event that must not be lost. */
    void send(DispatchEvent event) {
        Inbox<DispatchEvent> ring = mInbox;
        if (ring == null || !ring.offer(event)) {
            mMeters.eventLost();
            LOG.warning("Ring is full; an event of type " + event.getClass() + " was lost.");
        }
    }

    /** Sends a report, or drops and counts it if the ring is busy. */
    void report(DispatchEvent event) {
        Inbox<DispatchEvent> ring = mInbox;
        if (ring == null || ring.size() >= MAX_QUEUED_REPORTS || !ring.offer(event)) {
            mMeters.reportDropped();
        }
    }
}
