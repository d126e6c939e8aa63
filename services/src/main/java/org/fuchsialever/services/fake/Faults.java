package org.fuchsialever.services.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fuchsialever.services.Timers;
import reactor.core.publisher.Mono;

/** Faults and counts of one fake. Used by one thread. */
public final class Faults {
    private final Timers delays;
    private final Deque<Fault> nextChanges = new ArrayDeque<>();
    private boolean down;
    private Duration requestDelay = Duration.ZERO;
    private Duration answerDelay = Duration.ZERO;
    private long reads;
    private long writes;

    Faults(Timers delays) {
        this.delays = delays;
    }

    /** Makes every call fail without an effect until the next call of this method. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Sets the fault of the next change that has none yet; later ones follow in order. */
    public void addToNextChange(Fault fault) {
        nextChanges.add(fault);
    }

    /**
     * Makes the fake slow.
     *
     * @param beforeEffect time before a call is looked at
     * @param beforeAnswer time between its effect and its answer
     */
    public void setDelays(Duration beforeEffect, Duration beforeAnswer) {
        requestDelay = beforeEffect;
        answerDelay = beforeAnswer;
    }

    /** Returns the number of reads that were asked for, including failed ones. */
    public long readCount() {
        return reads;
    }

    /** Returns the number of changes that were asked for, including failed ones. */
    public long writeCount() {
        return writes;
    }

    <T> Mono<T> read(Mono<T> read) {
        return Mono.defer(
                () -> {
                    reads++;
                    return delayed(down ? Fault.DOWN.around(read) : read);
                });
    }

    <T> Mono<T> change(Mono<T> change) {
        return Mono.defer(
                () -> {
                    writes++;
                    Fault next = nextChanges.isEmpty() ? Fault.NONE : nextChanges.remove();
                    return delayed((down ? Fault.DOWN : next).around(change));
                });
    }

    private <T> Mono<T> delayed(Mono<T> call) {
        if (requestDelay.isZero() && answerDelay.isZero()) {
            return call;
        }
        Duration before = requestDelay;
        Duration after = answerDelay;
        return delays.after(before)
                .then(call)
                .flatMap(answer -> delays.after(after).thenReturn(answer));
    }
}
