package org.fuchsialever.services.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fuchsialever.services.Timers;
import reactor.core.publisher.Mono;

/** Fault injection and call counts of a fake. Used by one thread. */
public final class Faults {
    private final Timers timers;
    private final Deque<Fault> nextChanges = new ArrayDeque<>();
    private boolean down;
    private Duration requestDelay = Duration.ZERO;
    private Duration responseDelay = Duration.ZERO;
    private long reads;
    private long writes;

    Faults(Timers timers) {
        this.timers = timers;
    }

    /** Sets whether every call fails without an effect. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Queues a fault; each change takes the first queued fault, if there is one. */
    public void addToNextChange(Fault fault) {
        nextChanges.add(fault);
    }

    /**
     * Makes the fake slow.
     *
     * @param beforeEffect time before a call is executed
     * @param beforeResponse time between the execution of a call and its response
     */
    public void setDelays(Duration beforeEffect, Duration beforeResponse) {
        requestDelay = beforeEffect;
        responseDelay = beforeResponse;
    }

    /** Returns the number of reads, including failed ones. */
    public long readCount() {
        return reads;
    }

    /** Returns the number of changes, including failed ones. */
    public long writeCount() {
        return writes;
    }

    <T> Mono<T> read(Mono<T> read) {
        return Mono.defer(
                () -> {
                    reads++;
                    return delayed(down ? Fault.DOWN.inject(read) : read);
                });
    }

    <T> Mono<T> change(Mono<T> change) {
        return Mono.defer(
                () -> {
                    writes++;
                    Fault next = nextChanges.isEmpty() ? Fault.NONE : nextChanges.remove();
                    return delayed((down ? Fault.DOWN : next).inject(change));
                });
    }

    private <T> Mono<T> delayed(Mono<T> call) {
        if (requestDelay.isZero() && responseDelay.isZero()) {
            return call;
        }
        Duration before = requestDelay;
        Duration after = responseDelay;
        return timers.after(before)
                .then(call)
                .flatMap(result -> timers.after(after).thenReturn(result));
    }
}
