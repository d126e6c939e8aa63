package org.fuchsialever.node.intent;

import java.time.Duration;
import java.util.function.Consumer;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.services.Timers;
import org.jspecify.annotations.Nullable;

/**
 * Passes events from event loops to the inbox of a duty. Results of writes and attempts must not be
 * lost, so those that a full inbox refuses are offered again after a delay.
 */
public final class EventPort<E> implements Consumer<E> {
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final Timers mTimers;
    private volatile @Nullable Inbox<E> mInbox;

    /** Creates a port without an inbox; events are retained until there is one. */
    public EventPort(Timers timers) {
        mTimers = timers;
    }

    /** Sets the inbox. */
    public void connect(Inbox<E> duty) {
        mInbox = duty;
    }

    @Override
    public void accept(E event) {
        Inbox<E> duty = mInbox;
        if (duty == null || !duty.offer(event)) {
            mTimers.after(RETRY_DELAY).subscribe(done -> {}, failure -> {}, () -> accept(event));
        }
    }

    /** Offers an event once; for events that may be lost because a newer one follows soon. */
    public void offerOnce(E event) {
        Inbox<E> duty = mInbox;
        if (duty != null) {
            duty.offer(event);
        }
    }
}
