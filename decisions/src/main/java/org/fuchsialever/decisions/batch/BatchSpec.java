package org.fuchsialever.decisions.batch;

import java.util.List;

/**
 * What a trainer has submitted; it never changes.
 *
 * @param id identity of the submission
 * @param model the model that generates its texts
 * @param step the trainer's step
 * @param minVersion the oldest weight version allowed
 * @param targetGroupCount how many groups the trainer waits for
 * @param items its items
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
