package org.fuchsialever.decisions.samples;

import java.util.List;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * State of a trainer's delivery; the content of row {@code cursor/<trainer>}. Every commit for a
 * trainer writes this row on condition of its version, so that commits form one sequence.
 *
 * @param acknowledged the trainer has all samples below this position
 * @param firstBatch the first batch that is still needed
 * @param nextBatch the number of the next batch
 * @param nextPosition the position after the last fixed sample
 * @param newest the newest version that the trainer's model is known to have
 * @param openSteps the steps that have samples without acknowledgement, in order
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
