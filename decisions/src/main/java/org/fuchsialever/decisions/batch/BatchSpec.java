package org.fuchsialever.decisions.batch;

import java.util.List;

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
}
