package org.fuchsialever.decisions.batch;

import java.util.Collection;
import java.util.Comparator;
import org.fuchsialever.kernel.duty.ActionSink;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the items in progress of all submissions that an instance owns. Further items wait in
 * their submission, so that a step of any size is accepted whole. The submission with the fewest
 * items in progress starts the next one, so that a large step holds up no other.
 */
final class ItemWindow {
    /** Items in progress at an instance; a step of the size to design for fits whole. */
    static final int MAX_ITEMS = 4_096;

    /** A submission starts this many even if others fill the window with items that cannot run. */
    static final int MIN_ITEMS_PER_SUBMISSION = 64;

    private ItemWindow() {}

    /** Starts waiting items until the window is full or none waits. */
    static void startWaiting(Collection<OwnedBatch> batches, ActionSink<BatchAction> actions) {
        int inProgress = batches.stream().mapToInt(OwnedBatch::itemsInProgress).sum();
        OwnedBatch next = next(batches);
        while (next != null && hasRoom(next, inProgress)) {
            next.startNext(actions);
            inProgress++;
            next = next(batches);
        }
    }

    private static @Nullable OwnedBatch next(Collection<OwnedBatch> batches) {
        return batches.stream()
                .filter(OwnedBatch::hasWaitingItems)
                .min(Comparator.comparingInt(OwnedBatch::itemsInProgress))
                .orElse(null);
    }

    private static boolean hasRoom(OwnedBatch batch, int inProgress) {
        return inProgress < MAX_ITEMS || batch.itemsInProgress() < MIN_ITEMS_PER_SUBMISSION;
    }
}
