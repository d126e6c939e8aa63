package org.fuchsialever.decisions.samples;

import java.util.List;
import org.fuchsialever.kernel.duty.Duty;

/** A batch whose bodies are being stored, or that waits to be fixed. */
final class PendingBatch {
    private final String object;
    private final List<SampleState> samples;
    private boolean stored;
    private int failureCount;
    private long retryAt = Duty.NO_TIMER;

    PendingBatch(String object, List<SampleState> samples) {
        this.object = object;
        this.samples = samples;
    }

    String object() {
        return object;
    }

    List<SampleState> samples() {
        return samples;
    }

    boolean isStored() {
        return stored;
    }

    void markStored() {
        stored = true;
        retryAt = Duty.NO_TIMER;
    }

    void store(InvocationContext turn) {
        retryAt = Duty.NO_TIMER;
        List<JudgedSample> bodies = samples.stream().map(SampleState::judgedSample).toList();
        turn.emit(new RolloutAction.StoreBody(turn.trainer(), turn.term(), object, bodies));
    }

    void scheduleStoreRetry(long now, RetryDelay delays) {
        failureCount++;
        retryAt = now + delays.delayNanos(failureCount);
    }

    void retryIfDue(InvocationContext turn) {
        if (retryAt <= turn.now()) {
            turn.count(RolloutCounter.STORE_RETRIED, 1);
            store(turn);
        }
    }

    long retryAt() {
        return retryAt;
    }
}
