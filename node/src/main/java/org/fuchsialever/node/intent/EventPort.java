package org.fuchsialever.node.intent;

import java.time.Duration;
import java.util.function.Consumer;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.services.Timers;
import org.jspecify.annotations.Nullable;

/**
 * Takes events from event loops to the inbox of a duty. Results of writes and attempts must not be
 * lost, so those that a full inbox refuses are offered again after a delay.
 */
public final class EventPort<E> implements Consumer<E> {
    private static final Duration REPEAT = Duration.ofMillis(50);

    private final Timers delays;
    private volatile @Nullable Inbox<E> inbox;

    /** Creates a port without an inbox; events are kept back until there is one. */
    public EventPort(Timers delays) {
        this.delays = delays;
    }

    /** Sets the inbox. */
    public void connect(Inbox<E> duty) {
        inbox = duty;
    }

    @Override
    public void accept(E event) {
        Inbox<E> duty = inbox;
        if (duty == null || !duty.offer(event)) {
            delays.after(REPEAT).subscribe(done -> {}, failure -> {}, () -> accept(event));
        }
    }

    /** Offers an event that may be lost, since a newer one follows soon. */
    public void offerOnce(E event) {
        Inbox<E> duty = inbox;
        if (duty != null) {
            duty.offer(event);
        }
    }
}
