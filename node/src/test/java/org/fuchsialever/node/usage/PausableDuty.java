package org.fuchsialever.node.usage;

import java.util.ArrayDeque;
import java.util.Deque;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/** Wraps a duty that a test can pause or stop for good. A paused duty gets its events on resume. */
final class PausableDuty<E, A> implements Duty<E, A> {
    private final Duty<E, A> mDuty;
    private final Deque<E> mWaiting = new ArrayDeque<>();
    private boolean mPaused;
    private boolean mDead;

    PausableDuty(Duty<E, A> duty) {
        mDuty = duty;
    }

    void pause(boolean isPaused) {
        mPaused = isPaused;
    }

    void kill() {
        mDead = true;
    }

    @Override
    public String dutyName() {
        return mDuty.dutyName();
    }

    @Override
    public void onEvent(E event, long nowNanos, ActionSink<A> actions) {
        mWaiting.add(event);
        drain(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<A> actions) {
        drain(nowNanos, actions);
        if (mDuty.nextTimerNanos() <= nowNanos) {
            mDuty.onTimer(nowNanos, actions);
        }
    }

    @Override
    public long nextTimerNanos() {
        if (mPaused || mDead) {
            return NO_TIMER;
        }
        return mWaiting.isEmpty() ? mDuty.nextTimerNanos() : 0;
    }

    private void drain(long nowNanos, ActionSink<A> actions) {
        while (!mPaused && !mDead && !mWaiting.isEmpty()) {
            mDuty.onEvent(mWaiting.remove(), nowNanos, actions);
        }
    }
}
