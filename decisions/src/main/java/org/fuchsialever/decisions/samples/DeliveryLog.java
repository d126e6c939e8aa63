package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/** The committed delivery order of one trainer and its acknowledged cursor. */
final class DeliveryLog {
    private final InvariantMonitor mInvariants;
    private final NavigableMap<Long, BatchRecord> mByPosition = new TreeMap<>();
    private final Set<Long> mPositionsBeingReplaced = new HashSet<>();
    private long mAcknowledged;
    private long mFirstBatch;
    private long mNextBatch;
    private long mEnd;

    DeliveryLog(LogHead head, List<BatchRecord> batches, InvariantMonitor invariants) {
        mInvariants = invariants;
        mAcknowledged = head.acknowledged();
        mFirstBatch = head.firstBatch();
        mNextBatch = head.nextBatch();
        mEnd = head.nextPosition();
        batches.forEach(batch -> mByPosition.put(batch.firstPosition(), batch));
    }

    long acknowledged() {
        return mAcknowledged;
    }

    long firstBatch() {
        return mFirstBatch;
    }

    long nextBatch() {
        return mNextBatch;
    }

    long end() {
        return mEnd;
    }

    boolean acknowledge(long cursor) {
        if (cursor <= mAcknowledged) {
            return false;
        }
        mAcknowledged = cursor;
        return true;
    }

    /**
     * Returns the entries from a position up to the first one that is stale or being replaced.
     *
     * @param stale whether an entry is too stale to be delivered
     */
    List<BatchEntry> deliverable(long from, int limit, Predicate<BatchEntry> stale) {
        List<BatchEntry> entries = new ArrayList<>();
        long last = Math.min(mEnd, from + limit);
        for (long position = from; position < last; position++) {
            BatchEntry entry = entry(position);
            if (mPositionsBeingReplaced.contains(position) || stale.test(entry)) {
                break;
            }
            entries.add(entry);
        }
        return entries;
    }

    /** Returns the positions of stale entries and marks them as being replaced. */
    List<Long> markStaleForReplacement(long from, int limit, Predicate<BatchEntry> stale) {
        List<Long> positions = new ArrayList<>();
        long last = Math.min(mEnd, from + limit);
        for (long position = from; position < last; position++) {
            if (!mPositionsBeingReplaced.contains(position) && stale.test(entry(position))) {
                mPositionsBeingReplaced.add(position);
                positions.add(position);
            }
        }
        return positions;
    }

    BatchEntry entry(long position) {
        BatchRecord batch = batchAt(position);
        return batch.entries().get((int) (position - batch.firstPosition()));
    }

    /** Returns a copy of the batch with one entry replaced. */
    BatchRecord withReplacement(BatchRecord batch, long position, BatchEntry replacement) {
        List<BatchEntry> entries = new ArrayList<>(batch.entries());
        BatchEntry earlier = entries.set((int) (position - batch.firstPosition()), replacement);
        mInvariants.check(
                Invariant.SAMPLE_EXACTLY_ONCE,
                earlier.id().equals(replacement.id()),
                () -> "position " + position + " changed to " + replacement.id());
        return new BatchRecord(batch.number(), batch.firstPosition(), entries);
    }

    BatchRecord batchAt(long position) {
        Map.Entry<Long, BatchRecord> found = mByPosition.floorEntry(position);
        if (found == null || position >= found.getValue().endPosition()) {
            throw new IllegalStateException("no batch holds position " + position);
        }
        return found.getValue();
    }

    /** Applies a commit that took effect. */
    void onCommitted(HeadCommit commit) {
        for (BatchRecord batch : commit.batches()) {
            mByPosition.put(batch.firstPosition(), batch);
        }
        mNextBatch = commit.head().nextBatch();
        mEnd = commit.head().nextPosition();
        mFirstBatch = commit.head().firstBatch();
        mByPosition.values().removeIf(batch -> batch.number() < mFirstBatch);
    }

    void onReplaced(long position) {
        mPositionsBeingReplaced.remove(position);
    }

    /**
     * Returns the number of the first batch with an unacknowledged sample or a sample of an open
     * step.
     */
    long firstNeededBatch(Set<Long> openSteps) {
        for (BatchRecord batch : mByPosition.values()) {
            boolean needed =
                    batch.endPosition() > mAcknowledged
                            || batch.entries().stream()
                                    .anyMatch(entry -> openSteps.contains(entry.id().step()));
            if (needed) {
                return batch.number();
            }
        }
        return mNextBatch;
    }

    Iterable<BatchRecord> batches() {
        return mByPosition.values();
    }
}
