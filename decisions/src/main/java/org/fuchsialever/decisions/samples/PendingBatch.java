package org.fuchsialever.decisions.samples;

import java.util.List;
import org.fuchsialever.kernel.duty.Duty;

/** A batch whose sample bodies are being stored or that waits for its commit. */
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

    void store(InvocationContext context) {
        retryAt = Duty.NO_TIMER;
        List<JudgedSample> bodies = samples.stream().map(SampleState::judgedSample).toList();
        context.emit(
                new RolloutAction.StoreBody(context.trainer(), context.term(), object, bodies));
    }

    void scheduleStoreRetry(long now, RetryDelay delays) {
        failureCount++;
        retryAt = now + delays.delayNanos(failureCount);
    }

    void retryIfDue(InvocationContext context) {
        if (retryAt <= context.now()) {
            context.count(RolloutCounter.STORE_RETRIED, 1);
            store(context);
        }
    }

    long retryAt() {
        return retryAt;
    }
}
