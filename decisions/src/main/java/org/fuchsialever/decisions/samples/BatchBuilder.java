package org.fuchsialever.decisions.samples;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Collects finished samples until a batch is full or its first sample has waited for the maximum
 * delay.
 */
final class BatchBuilder {
    private final int mCapacity;
    private final long mMaxDelayNanos;
    private final Deque<WaitingSample> mWaiting = new ArrayDeque<>();

    BatchBuilder(RolloutLimits limits) {
        mCapacity = limits.maxBatchSamples();
        mMaxDelayNanos = limits.maxBatchDelay().toNanos();
    }

    void add(SampleState sample, long now) {
        sample.moveTo(SampleState.Stage.BATCHED);
        mWaiting.add(new WaitingSample(sample, now));
    }

    /**
     * Returns when the next batch is due. A replacement is due immediately because the trainer is
     * waiting for it.
     */
    long dueNanos() {
        WaitingSample first = mWaiting.peek();
        if (first == null) {
            return Duty.NO_TIMER;
        }
        boolean dueImmediately =
                mWaiting.size() >= mCapacity
                        || mWaiting.stream().anyMatch(entry -> entry.sample.isReplacement());
        return dueImmediately ? first.since : first.since + mMaxDelayNanos;
    }

    /** Removes and returns the samples of the next batch. */
    List<SampleState> takeBatch() {
        List<SampleState> batch = new ArrayList<>();
        while (batch.size() < mCapacity && !mWaiting.isEmpty()) {
            batch.add(mWaiting.remove().sample);
        }
        return batch;
    }

    private record WaitingSample(SampleState sample, long since) {}
}
