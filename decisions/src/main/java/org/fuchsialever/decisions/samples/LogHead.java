package org.fuchsialever.decisions.samples;

import java.util.List;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * Delivery state of a trainer; the content of row {@code cursor/<trainer>}. Every commit for a
 * trainer writes this row on condition of its version, so that commits form one sequence.
 *
 * @param acknowledged the trainer has received all samples below this position
 * @param firstBatch the first batch that is still needed
 * @param nextBatch the number of the next batch
 * @param nextPosition the position after the last committed sample
 * @param newest the newest known weight version of the trainer's model
 * @param openSteps the steps with unacknowledged samples, in ascending order
 */
public record LogHead(
        long acknowledged,
        long firstBatch,
        long nextBatch,
        long nextPosition,
        WeightVersion newest,
        List<Long> openSteps) {
    /** The state before the first submission. */
    public static final LogHead EMPTY = new LogHead(0, 0, 0, 0, new WeightVersion(0), List.of());

    /** Copies the steps. */
    public LogHead {
        openSteps = List.copyOf(openSteps);
    }
}
