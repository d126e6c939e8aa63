package org.fuchsialever.kernel.duty;

/**
 * A state machine that a single thread drives. It turns typed events into typed actions and does no
 * I/O. Time is passed as an argument and randomness through the constructor, so that the same
 * events give the same actions.
 *
 * @param <E> the type of its events
 * @param <A> the type of its actions
 */
public interface Duty<E, A> {

    /** Result of {@link #nextTimerNanos} when no timer is set. */
    long NO_TIMER = Long.MAX_VALUE;

    /** Returns the name used for the thread, metrics and logs. */
    String dutyName();

    /**
     * Handles one event.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @param actions receives the resulting actions
     */
    void onEvent(E event, long nowNanos, ActionSink<A> actions);

    /**
     * Handles all timers that are due.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @param actions receives the resulting actions
     */
    void onTimer(long nowNanos, ActionSink<A> actions);

    /** Returns the monotonic time in nanoseconds of the next timer, or {@link #NO_TIMER}. */
    long nextTimerNanos();
}
