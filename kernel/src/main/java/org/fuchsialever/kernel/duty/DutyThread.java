package org.fuchsialever.kernel.duty;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Runs one duty on a thread of its own. The thread waits on the inbox until the next timer. It
 * survives exceptions of the duty, but not errors.
 */
public final class DutyThread<E, A> implements AutoCloseable {
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long JOIN_TIMEOUT_MILLIS = 5_000;

    private final PartLogger mLog;
    private final Duty<E, A> mDuty;
    private final Inbox<E> mInbox;
    private final ActionSink<A> mActions;
    private final TimeSource mTime;
    private final Thread mThread;
    private final AtomicLong mFailures = new AtomicLong();
    private volatile boolean mRunning = true;
    private volatile long mLastStepNanos;

    /**
     * Creates the thread without starting it.
     *
     * @param inbox the events of the duty
     * @param actions executes the actions of the duty, on this thread
     * @param onEnd handles an error that ends the thread
     */
    public DutyThread(
            Duty<E, A> duty,
            Inbox<E> inbox,
            ActionSink<A> actions,
            TimeSource time,
            Thread.UncaughtExceptionHandler onEnd) {
        mDuty = duty;
        mInbox = inbox;
        mActions = actions;
        mTime = time;
        mLog = PartLogger.of(duty.dutyName());
        mThread = new Thread(this::run, "duty-" + duty.dutyName());
        mThread.setDaemon(true);
        mThread.setUncaughtExceptionHandler(onEnd);
        mLastStepNanos = time.nanoTime();
    }

    /** Starts the thread. */
    public void start() {
        mThread.start();
    }

    /** Returns the inbox of the duty. */
    public Inbox<E> inbox() {
        return mInbox;
    }

    /** Returns the number of exceptions that the duty or its action sink has thrown. */
    public long failureCount() {
        return mFailures.get();
    }

    /** Returns for how long the duty has not run, 0 after it was stopped. It idles at most 1 s. */
    public long silenceNanos() {
        return mRunning ? mTime.nanoTime() - mLastStepNanos : 0;
    }

    /** Stops the thread and waits up to 5 s until the event in progress has been handled. */
    @Override
    public void close() throws InterruptedException {
        mRunning = false;
        mThread.interrupt();
        if (Thread.currentThread() != mThread) {
            mThread.join(JOIN_TIMEOUT_MILLIS);
        }
    }

    private void run() {
        while (mRunning) {
            try {
                step();
            } catch (InterruptedException e) {
                mLog.debug("Thread was interrupted.");
            } catch (RuntimeException e) {
                mFailures.incrementAndGet();
                mLog.error("Unhandled exception while handling an event or a timer.", e);
            }
        }
    }

    /**
     * Returns how long to wait for an event. The difference of the times may overflow, because a
     * timer may be set to {@link Duty#NO_TIMER} or to the smallest value.
     */
    static long waitNanos(long timer, long now) {
        if (timer <= now) {
            return 0;
        }
        long wait = timer - now;
        return wait < 0 ? MAX_WAIT_NANOS : Math.min(wait, MAX_WAIT_NANOS);
    }

    private void step() throws InterruptedException {
        mLastStepNanos = mTime.nanoTime();
        long wait = waitNanos(mDuty.nextTimerNanos(), mTime.nanoTime());
        @Nullable E event = wait > 0 ? mInbox.poll(wait) : mInbox.poll();
        if (event != null) {
            mDuty.onEvent(event, mTime.nanoTime(), mActions);
        }
        long now = mTime.nanoTime();
        if (mDuty.nextTimerNanos() <= now) {
            mDuty.onTimer(now, mActions);
        }
    }
}
