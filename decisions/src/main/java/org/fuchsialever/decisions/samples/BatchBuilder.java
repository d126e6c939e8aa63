package org.fuchsialever.decisions.samples;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.fuchsialever.kernel.duty.Duty;

/** Collects finished samples until a batch is full or its first sample has waited long enough. */
final class BatchBuilder {
    private final int capacity;
    private final long delayNanos;
    private final Deque<Waiting> waiting = new ArrayDeque<>();

    BatchBuilder(RolloutLimits limits) {
        this.capacity = limits.maxBatchSamples();
        this.delayNanos = limits.maxBatchDelay().toNanos();
    }

    void add(SampleState sample, long now) {
        sample.moveTo(SampleState.Stage.BATCHED);
        waiting.add(new Waiting(sample, now));
    }

    /**
     * Returns when the next batch is due; a replacement holds up the trainer and is due at once.
     */
    long dueNanos() {
        Waiting first = waiting.peek();
        if (first == null) {
            return Duty.NO_TIMER;
        }
        boolean now =
                waiting.size() >= capacity
                        || waiting.stream().anyMatch(entry -> entry.sample.isReplacement());
        return now ? first.since : first.since + delayNanos;
    }

    /** Removes and returns the samples of the next batch. */
    List<SampleState> take() {
        List<SampleState> batch = new ArrayList<>();
        while (batch.size() < capacity && !waiting.isEmpty()) {
            batch.add(waiting.remove().sample);
        }
        return batch;
    }

    private record Waiting(SampleState sample, long since) {}
}
