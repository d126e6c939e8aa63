package org.fuchsialever.kernel.duty;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.time.TimeSource;
import org.jspecify.annotations.Nullable;

/** Runs one duty on a thread of its own. The thread waits on the inbox until the next timer. */
public final class DutyThread<E, A> implements AutoCloseable {
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long JOIN_TIMEOUT_MILLIS = 5_000;

    private final PartLogger log;
    private final Duty<E, A> duty;
    private final Inbox<E> inbox;
    private final ActionSink<A> actions;
    private final TimeSource time;
    private final Thread thread;
    private final AtomicLong failures = new AtomicLong();
    private volatile boolean running = true;

    /**
     * Creates the thread without starting it.
     *
     * @param inbox the events of the duty
     * @param actions executes the actions of the duty, on this thread
     */
    public DutyThread(Duty<E, A> duty, Inbox<E> inbox, ActionSink<A> actions, TimeSource time) {
        this.duty = duty;
        this.inbox = inbox;
        this.actions = actions;
        this.time = time;
        this.log = PartLogger.of(duty.dutyName());
        this.thread = new Thread(this::run, "duty-" + duty.dutyName());
        this.thread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Returns the inbox of the duty. */
    public Inbox<E> inbox() {
        return inbox;
    }

    /** Returns the number of exceptions that the duty or its action sink has thrown. */
    public long failureCount() {
        return failures.get();
    }

    /** Stops the thread and waits up to 5 s until the event in progress has been handled. */
    @Override
    public void close() throws InterruptedException {
        running = false;
        thread.interrupt();
        if (Thread.currentThread() != thread) {
            thread.join(JOIN_TIMEOUT_MILLIS);
        }
    }

    private void run() {
        while (running) {
            try {
                step();
            } catch (InterruptedException e) {
                log.debug("Thread was interrupted.");
            } catch (RuntimeException e) {
                failures.incrementAndGet();
                log.error("Unhandled exception while handling an event or a timer.", e);
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
        long wait = waitNanos(duty.nextTimerNanos(), time.nanoTime());
        @Nullable E event = wait > 0 ? inbox.poll(wait) : inbox.poll();
        if (event != null) {
            duty.onEvent(event, time.nanoTime(), actions);
        }
        long now = time.nanoTime();
        if (duty.nextTimerNanos() <= now) {
            duty.onTimer(now, actions);
        }
    }
}
