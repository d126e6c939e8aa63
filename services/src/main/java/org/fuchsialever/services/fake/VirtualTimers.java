package org.fuchsialever.services.fake;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.services.Timers;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Timers under a manual clock, used by one thread. Timers that are due at the same time fire in the
 * order in which they were started.
 */
public final class VirtualTimers implements Timers {
    private final ManualTimeSource mTime;
    private final PriorityQueue<Timer> mTimers =
            new PriorityQueue<>(
                    Comparator.comparingLong(Timer::dueNanos).thenComparingLong(Timer::sequence));
    private long mSequence;

    /** Creates timers on the given clock. */
    public VirtualTimers(ManualTimeSource time) {
        mTime = time;
    }

    @Override
    public Mono<Void> after(Duration delay) {
        return Mono.defer(
                () -> {
                    if (delay.isZero()) {
                        return Mono.empty();
                    }
                    Sinks.Empty<Void> signal = Sinks.empty();
                    mTimers.add(new Timer(mTime.nanoTime() + delay.toNanos(), mSequence++, signal));
                    return signal.asMono();
                });
    }

    /** Returns the monotonic time in nanoseconds of the next timer, or {@link Long#MAX_VALUE}. */
    public long nextDueNanos() {
        Timer next = mTimers.peek();
        return next == null ? Long.MAX_VALUE : next.dueNanos;
    }

    /** Fires all timers that are due. */
    public void runDue() {
        while (nextDueNanos() <= mTime.nanoTime()) {
            mTimers.remove().signal.tryEmitEmpty();
        }
    }

    /** Advances the clock from timer to timer and fires each one when it is due. */
    public void advance(Duration duration) {
        long end = mTime.nanoTime() + duration.toNanos();
        runDue();
        while (nextDueNanos() <= end) {
            mTime.advanceNanos(nextDueNanos() - mTime.nanoTime());
            runDue();
        }
        mTime.advanceNanos(end - mTime.nanoTime());
    }

    private record Timer(long dueNanos, long sequence, Sinks.Empty<Void> signal) {}
}
