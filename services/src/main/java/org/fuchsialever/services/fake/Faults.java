package org.fuchsialever.services.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fuchsialever.services.Timers;
import reactor.core.publisher.Mono;

/** Fault injection and call counts of a fake. Used by one thread. */
public final class Faults {
    private final Timers mTimers;
    private final Deque<Fault> mNextChanges = new ArrayDeque<>();
    private boolean mDown;
    private Duration mRequestDelay = Duration.ZERO;
    private Duration mResponseDelay = Duration.ZERO;
    private long mReads;
    private long mWrites;

    Faults(Timers timers) {
        mTimers = timers;
    }

    /** Sets whether every call fails without an effect. */
    public void setDown(boolean isDown) {
        mDown = isDown;
    }

    /** Queues a fault; each change takes the first queued fault, if there is one. */
    public void addToNextChange(Fault fault) {
        mNextChanges.add(fault);
    }

    /**
     * Makes the fake slow.
     *
     * @param beforeEffect time before a call is executed
     * @param beforeResponse time between the execution of a call and its response
     */
    public void setDelays(Duration beforeEffect, Duration beforeResponse) {
        mRequestDelay = beforeEffect;
        mResponseDelay = beforeResponse;
    }

    /** Returns the number of reads, including failed ones. */
    public long readCount() {
        return mReads;
    }

    /** Returns the number of changes, including failed ones. */
    public long writeCount() {
        return mWrites;
    }

    <T> Mono<T> read(Mono<T> read) {
        return Mono.defer(
                () -> {
                    mReads++;
                    return delayed(mDown ? Fault.DOWN.inject(read) : read);
                });
    }

    <T> Mono<T> change(Mono<T> change) {
        return Mono.defer(
                () -> {
                    mWrites++;
                    Fault next = mNextChanges.isEmpty() ? Fault.NONE : mNextChanges.remove();
                    return delayed((mDown ? Fault.DOWN : next).inject(change));
                });
    }

    private <T> Mono<T> delayed(Mono<T> call) {
        if (mRequestDelay.isZero() && mResponseDelay.isZero()) {
            return call;
        }
        Duration before = mRequestDelay;
        Duration after = mResponseDelay;
        return mTimers.after(before)
                .then(call)
                .flatMap(result -> mTimers.after(after).thenReturn(result));
    }
}
