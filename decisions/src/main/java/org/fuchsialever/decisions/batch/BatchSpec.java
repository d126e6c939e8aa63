package org.fuchsialever.decisions.batch;

import java.util.List;
import java.util.LongSummaryStatistics;

/**
 * Content of a submission; immutable once accepted.
 *
 * @param id ID of the submission
 * @param model the model that generates the texts
 * @param step training step of the trainer
 * @param minVersion the oldest weight version allowed
 * @param targetGroupCount number of groups that the trainer waits for
 * @param items the items; events and actions refer to them by index
 */
public record BatchSpec(
        String id,
        String model,
        long step,
        long minVersion,
        int targetGroupCount,
        List<BatchItem> items) {

    /** Copies the list. */
    public BatchSpec {
        items = List.copyOf(items);
    }

    /**
     * Returns the tokens that the items are expected to take: the trainer's estimates, where an
     * item without one counts like the mean of the others; the maximums if no item has an estimate.
     */
    public long expectedTokens() {
        LongSummaryStatistics estimates =
                items.stream()
                        .mapToLong(BatchItem::expectedTokens)
                        .filter(tokens -> tokens > 0)
                        .summaryStatistics();
        return estimates.getCount() > 0
                ? Math.round(estimates.getAverage() * items.size())
                : items.stream().mapToLong(BatchItem::maxTokenCount).sum();
    }

    /** Returns the memory that the content takes at the owner, in bytes. */
    public long memoryBytes() {
        return items.stream().mapToLong(BatchItem::memoryBytes).sum();
    }
}
