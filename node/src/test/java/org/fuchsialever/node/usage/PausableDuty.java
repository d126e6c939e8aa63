package org.fuchsialever.node.usage;

import java.util.ArrayDeque;
import java.util.Deque;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/** Wraps a duty that a test can pause or stop for good. A paused duty gets its events on resume. */
final class PausableDuty<E, A> implements Duty<E, A> {
    private final Duty<E, A> duty;
    private final Deque<E> waiting = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;

    PausableDuty(Duty<E, A> duty) {
        this.duty = duty;
    }

    void pause(boolean isPaused) {
        paused = isPaused;
    }

    void kill() {
        dead = true;
    }

    @Override
    public String dutyName() {
        return duty.dutyName();
    }

    @Override
    public void onEvent(E event, long nowNanos, ActionSink<A> actions) {
        waiting.add(event);
        drain(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<A> actions) {
        drain(nowNanos, actions);
        if (duty.nextTimerNanos() <= nowNanos) {
            duty.onTimer(nowNanos, actions);
        }
    }

    @Override
    public long nextTimerNanos() {
        if (paused || dead) {
            return NO_TIMER;
        }
        return waiting.isEmpty() ? duty.nextTimerNanos() : 0;
    }

    private void drain(long nowNanos, ActionSink<A> actions) {
        while (!paused && !dead && !waiting.isEmpty()) {
            duty.onEvent(waiting.remove(), nowNanos, actions);
        }
    }
}
