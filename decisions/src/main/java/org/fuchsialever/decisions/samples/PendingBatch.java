package org.fuchsialever.decisions.samples;

import java.util.List;
import org.fuchsialever.kernel.duty.Duty;

/** A batch whose sample bodies are being stored or that waits for its commit. */
final class PendingBatch {
    private final String mObject;
    private final List<SampleState> mSamples;
    private boolean mStored;
    private int mFailureCount;
    private long mRetryAt = Duty.NO_TIMER;

    PendingBatch(String object, List<SampleState> samples) {
        mObject = object;
        mSamples = samples;
    }

    String object() {
        return mObject;
    }

    List<SampleState> samples() {
        return mSamples;
    }

    boolean isStored() {
        return mStored;
    }

    void markStored() {
        mStored = true;
        mRetryAt = Duty.NO_TIMER;
    }

    void store(InvocationContext context) {
        mRetryAt = Duty.NO_TIMER;
        List<JudgedSample> bodies = mSamples.stream().map(SampleState::judgedSample).toList();
        context.emit(
                new RolloutAction.StoreBody(context.trainer(), context.term(), mObject, bodies));
    }

    void scheduleStoreRetry(long now, RetryDelay delays) {
        mFailureCount++;
        mRetryAt = now + delays.delayNanos(mFailureCount);
    }

    void retryIfDue(InvocationContext context) {
        if (mRetryAt <= context.now()) {
            context.count(RolloutCounter.STORE_RETRIED, 1);
            store(context);
        }
    }

    long retryAt() {
        return mRetryAt;
    }
}
