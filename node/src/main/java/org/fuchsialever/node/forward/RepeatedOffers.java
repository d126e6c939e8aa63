package org.fuchsialever.node.forward;

import io.netty.channel.EventLoop;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BinaryOperator;
import org.fuchsialever.decisions.forward.ForwardEvent;
import org.fuchsialever.kernel.duty.Inbox;

/**
 * Offers events that must not be lost to the ring of the duty until it takes them. Keeps one event
 * for each upstream and one for the list of upstreams.
 */
final class RepeatedOffers {
    /** Short against the time for which a leaving upstream serves. */
    private static final long INTERVAL_MILLIS = 20;

    private static final String LIST = "";

    private final Inbox<ForwardEvent> mInbox;
    private final EventLoop mTimers;
    private final Map<String, ForwardEvent> mWaiting = new LinkedHashMap<>();

    RepeatedOffers(Inbox<ForwardEvent> inbox, EventLoop timers) {
        mInbox = inbox;
        mTimers = timers;
    }

    /** Offers a list of upstreams, which replaces one that still waits. */
    void offer(ForwardEvent.FleetChanged changed) {
        offer(LIST, changed, (earlier, later) -> later);
    }

    /** Offers an announcement; the first one of an upstream counts. */
    void offer(ForwardEvent.LeavingAnnounced announced) {
        String key = announced.upstream().id() + " " + announced.upstream().startedMillis();
        offer(key, announced, (earlier, later) -> earlier);
    }

    private synchronized void offer(
            String key, ForwardEvent event, BinaryOperator<ForwardEvent> choice) {
        if (mWaiting.isEmpty() && mInbox.offer(event)) {
            return;
        }
        if (mWaiting.isEmpty()) {
            schedule();
        }
        mWaiting.merge(key, event, choice);
    }

    private synchronized void offerAgain() {
        Iterator<ForwardEvent> waiting = mWaiting.values().iterator();
        while (waiting.hasNext() && mInbox.offer(waiting.next())) {
            waiting.remove();
        }
        if (!mWaiting.isEmpty()) {
            schedule();
        }
    }

    private void schedule() {
        mTimers.schedule(this::offerAgain, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
