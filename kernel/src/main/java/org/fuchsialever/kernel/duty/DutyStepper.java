package org.fuchsialever.kernel.duty;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.fuchsialever.kernel.time.ManualTimeSource;

/**
 * Runs several duties on the calling thread under a manual clock, for tests and randomised runs.
 * Events are handled in order of arrival; the clock advances from timer to timer.
 */
public final class DutyStepper {
    private final ManualTimeSource mTime;
    private final List<Entry<?, ?>> mDuties = new ArrayList<>();
    private final Deque<Runnable> mPending = new ArrayDeque<>();

    /** Creates a stepper on the given clock. */
    public DutyStepper(ManualTimeSource time) {
        mTime = time;
    }

    /**
     * Adds a duty.
     *
     * @param actions executes its actions; may send events to any duty of this stepper
     * @return a sink that sends an event to the duty
     */
    public <E, A> ActionSink<E> add(Duty<E, A> duty, ActionSink<A> actions) {
        Entry<E, A> entry = new Entry<>(duty, actions);
        mDuties.add(entry);
        return event -> mPending.add(() -> entry.handle(event, mTime.nanoTime()));
    }

    /** Handles all pending events, including those that are sent meanwhile. */
    public void runPending() {
        Runnable next = mPending.poll();
        while (next != null) {
            next.run();
            next = mPending.poll();
        }
    }

    /**
     * Advances the clock and runs all timers that become due, in order of time.
     *
     * @param nanos how far to advance, in nanoseconds
     */
    public void advance(long nanos) {
        long end = mTime.nanoTime() + nanos;
        runPending();
        long next = nextTimer();
        while (next <= end) {
            mTime.advanceNanos(Math.max(0, next - mTime.nanoTime()));
            for (Entry<?, ?> entry : mDuties) {
                entry.runTimers(mTime.nanoTime());
                runPending();
            }
            next = nextTimer();
        }
        mTime.advanceNanos(end - mTime.nanoTime());
    }

    private long nextTimer() {
        long next = Duty.NO_TIMER;
        for (Entry<?, ?> entry : mDuties) {
            next = Math.min(next, entry.duty.nextTimerNanos());
        }
        return next;
    }

    private record Entry<E, A>(Duty<E, A> duty, ActionSink<A> actions) {
        void handle(E event, long now) {
            duty.onEvent(event, now, actions);
        }

        void runTimers(long now) {
            if (duty.nextTimerNanos() <= now) {
                duty.onTimer(now, actions);
            }
        }
    }
}
